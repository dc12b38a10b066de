package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// caseTimeout bounds a case with the end of its processes.
const caseTimeout = 110 * time.Second

// errNotRun means that the case could not be played as intended.
var errNotRun = errors.New("the case could not run")

// scenario plays one case and returns how the rule was broken; empty if it held.
type scenario func(ctx context.Context, e *env) (broken []string, err error)

var scenarios = map[string]scenario{
	"kind":    playKind,
	"gang":    playGang,
	"pending": playPending,
	"trial":   playTrial,
	"drain":   playDrain,
	"entry":   playEntry,
	"fill":    playFill,
	"lease":   playLease,
	"freeze":  playFreeze,
}

// main plays the case that the first argument names and writes its record into the folder that the second one names.
func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, folder string) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }() // all lines have been written
	e := newEnv(record)
	defer e.close()
	broken, err := s(ctx, e)
	switch {
	case err != nil:
		e.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			e.note("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	e.note("held")
	fmt.Println("held")
	return exitHeld
}
