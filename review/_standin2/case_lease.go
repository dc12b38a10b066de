package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// startsPerGeneration is the number of fences for each generation of the group.
const startsPerGeneration = 1 << 10

// zoneOf returns the zone of the daemon that owned a pool under a fence.
func (e *env) zoneOf(pool string, fence int64) string {
	part := int(shard.PartitionOf(ident.PoolID(pool), partitions))
	e.group.mu.Lock()
	member := e.group.ownerOf[generationPart{fence / startsPerGeneration, part}]
	e.group.mu.Unlock()
	for _, d := range e.daemons {
		if strings.HasPrefix(member, d.peer+"/") {
			return d.zone
		}
	}
	return ""
}

// playLease cuts a zone off twice, and lets some writes to the log go without an answer in between. It judges TWICE: no task
// runs on two workers at the same time.
func playLease(ctx context.Context, e *env) ([]string, error) {
	const pool, path, need, jobs = "bakery-desk", "cut", 900, 8
	const firstCut, secondCut = 5 * time.Second, 5500 * time.Millisecond
	zone := zones[0]
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	e.configure(1, queue{path, pool, 2, 0})
	part := shard.PartitionOf(ident.PoolID(pool), partitions)
	var prefer atomic.Pointer[string]
	e.group.prefer = func(p int) string {
		if want := prefer.Load(); want != nil && p == int(part) {
			return *want
		}
		return ""
	}
	var losing atomic.Bool
	e.loseWrite = func(r *http.Request) bool {
		q := r.URL.Query()
		return losing.Load() && strings.HasSuffix(q.Get("topic"), string(shard.JobsTopic)) && q.Get("part") == strconv.Itoa(int(part))
	}
	behave := func(string, int) behavior { return behavior{duration: 30 * time.Second} }
	if err := e.addWorkers(pool, 2*rackSize, behave, func(string) int { return need }); err != nil {
		return nil, err
	}
	if err := e.startDaemons(ctx); err != nil {
		return nil, err
	}
	holder := func() *daemon {
		owner, _ := e.owner(pool)
		return owner
	}
	inZone := e.daemons[0]
	awaitOwner := func(d *daemon) error {
		for begin := time.Now(); holder() != d; time.Sleep(10 * time.Millisecond) {
			if time.Since(begin) > 4*time.Second {
				return fmt.Errorf("%w: %s doesn't get the pool", errNotRun, d.name)
			}
		}
		e.note("%s owns the pool", d.name)
		return nil
	}
	prefer.Store(&inZone.peer) // it gets the partition of the pool when partitions move
	e.group.reassign()
	if err := awaitOwner(inZone); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	for n := range jobs {
		if !e.submit(ctx, e.daemons[n%len(e.daemons)], fmt.Sprintf("/%s/%016x", path, n+1), job("x", phase{"count": 6, "cpu": need, "mem-mb": 1800, "est-runtime-ms": 30000})) {
			return nil, fmt.Errorf("%w: a job was not accepted", errNotRun)
		}
	}
	time.Sleep(time.Second)
	if e.trouble {
		e.cutZone(zone, true)
	}
	time.Sleep(firstCut)
	if d := holder(); d != nil {
		e.note("%s owns the pool", d.name)
	}
	losing.Store(e.trouble)
	e.count(true)
	if e.trouble {
		e.cutZone(zone, false)
	}
	if err := awaitOwner(inZone); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	prefer.Store(&e.daemons[1].peer)
	if e.trouble {
		e.cutZone(zone, true)
	}
	losing.Store(false)
	e.count(false)
	time.Sleep(secondCut)
	if e.trouble {
		e.cutZone(zone, false)
	}
	time.Sleep(8 * time.Second)
	e.mu.Lock()
	lost, writes := e.lost, e.writes
	e.mu.Unlock()
	e.note("%d writes got no answer, of %d that daemons and workers sent meanwhile", lost, writes)
	return e.overlaps(), nil
}
