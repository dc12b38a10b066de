package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	crashUnits  = 5
	crashBudget = 1
	crashTimes  = 3
	crashAfter  = 300 * time.Millisecond // from the start of the work unit
	crashDown   = 400 * time.Millisecond
	crashWatch  = 15 * time.Second
	noticeTime  = 4500 * time.Millisecond // notice-ms
)

// playCrash hands in a job of five work units that last. The worker of one of them crashes, and then each worker that has
// just started it, three times in all.
func playCrash(w *world) ([]string, error) {
	id := jobID()
	path := "/bakery-desk/" + id
	if !w.client.submit(path, jobBody(work{Lasts: true}, phase{Count: crashUnits, CPU: 1300, Memory: 6800, Estimate: 700, MaxPerServer: 1, LongRunning: true, MissBudget: crashBudget})) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	unit := id + ".0.0.0"
	if w.workerOf(unit) == nil {
		return nil, fmt.Errorf("the job does not run")
	}
	if w.trouble {
		w.fleet.crash(w.workerOf(unit), crashDown)
		for range crashTimes {
			begin := time.Now()
			for w.workerOf(unit) == nil && time.Since(begin) < crashWatch {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(crashAfter)
			if x := w.workerOf(unit); x != nil {
				w.journal.line("platform", "worker %s crashes, %v after it has started %s", x.id, crashAfter, unit)
				w.fleet.crash(x, crashDown)
			}
		}
	}
	time.Sleep(crashWatch)
	w.journal.line("client", "the job is shown as %q", w.client.state(path))
	return w.journal.stopsBeyondBudget(id+".0.0.", crashBudget), nil
}

// stopsBeyondBudget returns the stops of work units at work on a sound worker, while as many others of their step as the
// budget allows are away: ended by such a stop and not at work since, or not at work for noticeTime.
func (j *journal) stopsBeyondBudget(step string, budget int) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	type stop struct {
		task string
		at   time.Time
	}
	var stops []stop
	for task, runs := range j.runs {
		for _, r := range runs {
			if strings.HasPrefix(task, step) && r.how == "stopped" && r.ended.Sub(r.started) > startupTime {
				stops = append(stops, stop{task, r.ended})
			}
		}
	}
	sort.Slice(stops, func(a, b int) bool { return stops[a].at.Before(stops[b].at) })
	var out []string
	for _, s := range stops {
		away := 0
		for task, runs := range j.runs {
			if task == s.task || !strings.HasPrefix(task, step) {
				continue
			}
			var last *seenRun // the last run that was at work before the stop
			atWork := false
			for _, r := range runs {
				if begin := r.started.Add(startupTime); begin.Before(s.at) && (r.ended.IsZero() || r.ended.After(begin)) {
					last = r
					atWork = atWork || r.ended.IsZero() || !r.ended.Before(s.at)
				}
			}
			if !atWork && last != nil && (last.how == "stopped" || s.at.Sub(last.ended) > noticeTime) {
				away++
			}
		}
		if away >= budget {
			out = append(out, fmt.Sprintf("%s is stopped while %d others of its step are away, and %d may be", s.task, away, budget))
		}
	}
	return out
}
