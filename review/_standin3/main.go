package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// verdict is the result of a case: what broke the rule, empty if it held.
type verdict struct{ broken []string }

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// scenario plays a case, with its disruption if trouble is set.
type scenario struct {
	workers, entries int
	advised          bool // the queue needs advice
	play             func(f *fleet, trouble bool, v *verdict) error
}

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"crashes": {workers: 21, entries: 3, play: playCrashes},
	"advice":  {workers: 12, entries: 3, advised: true, play: playAdvice},
	"frozen":  {workers: 6, entries: 3, play: playFrozen},
	"late":    {workers: 15, entries: 3, play: playLate},
	"timed":   {workers: 6, entries: 3, play: playTimed},
	"gang":    {workers: 24, entries: 3, play: playGang},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER, in the repository; TROUBLE=0 leaves out the disruption")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, folder string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	f, err := newFleet(ctx, rec, s.workers, s.entries, s.advised)
	if f != nil {
		defer f.close()
	}
	if err == nil {
		rec.note("the deployment is up; disruption: %v", trouble)
		done := make(chan error, 1)
		v := &verdict{}
		go func() { done <- s.play(f, trouble, v) }()
		select {
		case err = <-done:
		case <-ctx.Done():
			err = fmt.Errorf("the case has not ended in time")
		}
		if err == nil {
			return conclude(rec, v)
		}
	}
	rec.note("the case could not run: %v", err)
	fmt.Println("not run:", err)
	return exitNotRun
}

func conclude(rec *record, v *verdict) int {
	if len(v.broken) == 0 {
		rec.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range v.broken {
		rec.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	return exitBroken
}
