package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// playFreeze freezes the owner of a pool for moments, shorter than the ttl of its membership, during a burst of jobs. It judges
// TWICE: no task runs on two workers at the same time.
func playFreeze(ctx context.Context, e *env) ([]string, error) {
	const pool, path, need = "bakery-desk", "cut", 200
	const freezes, frozen, pause = 70, 500 * time.Millisecond, 500 * time.Millisecond
	// During the burst, jobs come 2.6 times as often as usual.
	const burstPause, usualPause = 15 * time.Millisecond, 39 * time.Millisecond
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, 2, 0})
	behave := func(task string, _ int) behavior {
		return behavior{duration: time.Duration(200+10*(len(task)+int(task[len(task)-1])%20)) * time.Millisecond}
	}
	if err := e.addWorkers(pool, 3*rackSize, behave, func(string) int { return need }); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithTimeout(ctx, 74*time.Second)
	defer stop()
	go func() {
		for n := 0; load.Err() == nil; n++ {
			d := e.daemons[n%len(e.daemons)]
			go e.call(d, "POST", fmt.Sprintf("/%s/%016x", path, n+1), job("x", phase{"count": 24, "cpu": need, "mem-mb": 64, "est-runtime-ms": 400}))
			if e.trouble {
				time.Sleep(burstPause)
			} else {
				time.Sleep(usualPause)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	for range freezes {
		if !e.trouble {
			break
		}
		if owner, _ := e.owner(pool); owner != nil {
			e.note("%s is frozen for %v", owner.name, frozen)
			_ = owner.cmd.Process.Signal(syscall.SIGSTOP) // it runs
			time.Sleep(frozen)
			_ = owner.cmd.Process.Signal(syscall.SIGCONT) // it runs
		}
		time.Sleep(pause)
	}
	<-load.Done()
	time.Sleep(3 * time.Second)
	e.mu.Lock()
	n := len(e.runs)
	e.mu.Unlock()
	e.note("%d runs", n)
	if n < 1000 {
		return nil, fmt.Errorf("%w: only %d runs", errNotRun, n)
	}
	return e.overlapsByTask(), nil
}
