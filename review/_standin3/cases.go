package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/shard"
)

// playCrashes lets the workers of two jobs crash, one after the other, shortly after the jobs have begun there: two workers
// under a job of one work unit, then three under a job that lasts.
func playCrashes(f *fleet, trouble bool, v *verdict) error {
	const down = 4500 * time.Millisecond
	batch, lasting := jobID(1), jobID(2)
	crashesLeft := map[string]int{batch: 2, lasting: 3}
	f.mu.Lock()
	f.onRun = func(w *worker, _ *life, r *run) {
		f.mu.Lock()
		defer f.mu.Unlock()
		job := r.task[:len(batch)]
		if !trouble || crashesLeft[job] == 0 {
			return
		}
		crashesLeft[job]--
		go func() {
			time.Sleep(200 * time.Millisecond)
			w.crash()
			time.Sleep(down)
			w.mustUp()
		}()
	}
	f.mu.Unlock()
	c := f.client(f.entries[0])
	state := map[string]string{}
	for _, job := range []struct{ id, body string }{
		{batch, oneUnit("run=1300")},
		{lasting, toJSON(map[string]any{"spec": "run=0", "phases": []any{map[string]any{"count": 1, "cpu": 1500, "mem-mb": 6800, "est-runtime-ms": 700, "long-running": true}}})},
	} {
		if status := c.post(job.id, job.body, 3*time.Second); status != http.StatusOK {
			return fmt.Errorf("job %s was not accepted", job.id)
		}
		for begin := time.Now(); time.Since(begin) < 12*time.Second; time.Sleep(time.Second) {
			if status, s := c.get(job.id, 3*time.Second); status == http.StatusOK {
				state[job.id] = s
			}
		}
	}
	for _, id := range []string{batch, lasting} {
		ends := f.endsOf(id)
		f.rec.note("job %s is shown as %s; ends of its runs: %v", id, state[id], ends)
		switch {
		case state[id] == "failed" && ends["failed"] == 0:
			v.breaks("LOST: job %s is shown as failed, and no run of it has ended failed: %v", id, ends)
		case state[id] == "":
			return fmt.Errorf("the state of job %s was not shown", id)
		}
	}
	return nil
}

// playFrozen freezes a daemon that some clients send jobs to. These leave, and cancel their jobs at another daemon.
func playFrozen(f *fleet, trouble bool, v *verdict) error {
	const (
		jobs      = 40
		others    = 60 // jobs of clients that don't leave, so that a share of 0.4 does
		freeze    = 4 * time.Second
		leaves    = 300 * time.Millisecond // of the deadline of 3 s
		cancelMS  = 3 * time.Second
		stopMS    = 400 * time.Millisecond
		goneAfter = cancelMS + stopMS
	)
	body := toJSON(map[string]any{"spec": "run=20000", "phases": []any{map[string]any{"count": 1, "cpu": 300, "mem-mb": 600, "est-runtime-ms": 20000}}})
	// The store stand-in deals the partitions in order to the members. Without the first member, which has partition 0, the
	// pool stays at its owner, which so is in touch throughout.
	owner, frozen := f.owner(partition(f)), f.owner(0)
	if owner == nil || frozen == nil || owner == frozen {
		return fmt.Errorf("no daemon that doesn't own the pool can be frozen")
	}
	other := f.entries[0]
	if other == frozen {
		other = f.entries[1]
	}
	f.rec.note("the jobs go to %s; the owner of the pool is %s", frozen.name, owner.name)
	for i := range others / 2 { // usual traffic
		f.client(f.entries[i%len(f.entries)]).post(jobID(jobs+others+i), oneUnit("run=300"), 3*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	begin := time.Now()
	type cancelled struct {
		id string
		at time.Time
	}
	acked := make(chan cancelled, jobs)
	for i := range others {
		go f.client(other).post(jobID(jobs+i), oneUnit("run=300"), 3*time.Second)
	}
	for i := range jobs {
		go func() {
			id := jobID(i)
			f.client(frozen).post(id, body, leaves)
			for range 5 {
				if status := f.client(other).cancel(id, 3*time.Second); status == http.StatusOK || status == http.StatusGone {
					acked <- cancelled{id, time.Now()}
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
			acked <- cancelled{}
		}()
	}
	at := map[string]time.Time{}
	for range jobs {
		if c := <-acked; c.id != "" {
			at[c.id] = c.at
		}
	}
	if len(at) == 0 {
		return fmt.Errorf("no cancel was confirmed")
	}
	time.Sleep(time.Until(begin.Add(freeze)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	f.rec.note("the owner of the pool is %s", nameOf(f.owner(partition(f))))
	time.Sleep(10 * time.Second)
	for id, t := range at {
		for _, b := range f.startsOf(id) {
			late := b.at.Sub(t)
			f.rec.note("%s was started %.3f s after the cancel was confirmed", b.task, late.Seconds())
			if late > cancelMS {
				v.breaks("UNASKED: %s was started on %s %.3f s after the cancel of its job was confirmed, cancel_ms is %v", b.task, b.worker, late.Seconds(), cancelMS)
			}
		}
		if n, m := len(f.startsOf(id)), 0; n > 0 {
			for _, k := range f.endsOf(id) {
				m += k
			}
			if m < n && time.Since(t) > goneAfter {
				v.breaks("UNASKED: a work unit of %s still runs %.1f s after the cancel was confirmed", id, time.Since(t).Seconds())
			}
		}
	}
	return nil
}

// playGang lets two workers fail all that they start, for a while.
func playGang(f *fleet, trouble bool, v *verdict) error {
	grey := trouble
	f.mu.Lock()
	f.onGang = func(members []*member) { begin(members, grey && members[0].r.attempt == 1) }
	f.mu.Unlock()
	c := f.client(f.entries[0])
	id := jobID(1)
	job := toJSON(map[string]any{"spec": "run=1000 gang=2", "phases": []any{map[string]any{"count": 2, "cpu": 9000, "mem-mb": 3900, "est-runtime-ms": 1000, "gang": true}}})
	if status := c.post(id, job, 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("the job was not accepted")
	}
	state := ""
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(500 * time.Millisecond) {
		if status, s := c.get(id, 3*time.Second); status == http.StatusOK {
			state = s
		}
	}
	starts := f.startsOf(id)
	attempts := map[int64]bool{}
	for _, b := range starts {
		attempts[b.attempt] = true
	}
	f.rec.note("the job is shown as %s after %d runs of its gang; ends: %v", state, len(attempts), f.endsOf(id))
	if state == "failed" && len(attempts) < 2 {
		v.breaks("LOST: the job is shown as failed after %d run of its gang; max-attempts is 2", len(attempts))
	}
	return nil
}

// begin lets the members of a gang work, or fail at once.
func begin(members []*member, fails bool) {
	for _, m := range members {
		m.w.mu.Lock()
		key := runKey(m.r.task, m.r.attempt)
		if m.x.running[key] == m.r {
			if fails {
				m.x.end(key, "failed")
			} else {
				m.x.work(key, m.r)
			}
		}
		m.w.mu.Unlock()
	}
}

// playLate lets workers carry out a start late, after they have crashed and started again under their ids. The work unit runs
// elsewhere by then.
func playLate(f *fleet, trouble bool, v *verdict) error {
	const (
		jobs      = 2
		others    = 40 // jobs whose starts are answered, so that a share of 0.045 isn't
		down      = 7200 * time.Millisecond
		lateAfter = 11 * time.Second
	)
	var mu sync.Mutex
	chosen := map[string]bool{}
	for _, w := range f.workers {
		w.mu.Lock()
		w.lateNext = func(path string, req *order) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || path != "/-/run-start" || req.Attempt != 1 || chosen[req.Task] || req.Task[:16] >= jobID(jobs) {
				return 0
			}
			chosen[req.Task] = true
			go func() {
				time.Sleep(200 * time.Millisecond)
				w.crash()
				time.Sleep(down)
				w.mustUp()
			}()
			return lateAfter
		}
		w.mu.Unlock()
	}
	c := f.client(f.entries[0])
	body := toJSON(map[string]any{"spec": "run=20000", "phases": []any{map[string]any{"count": 1, "cpu": 9000, "mem-mb": 3900, "est-runtime-ms": 20000}}})
	for i := range jobs {
		if status := c.post(jobID(i), body, 3*time.Second); status != http.StatusOK {
			return fmt.Errorf("job %s was not accepted", jobID(i))
		}
	}
	for i := range others {
		if status := c.post(jobID(jobs+i), oneUnit("run=300"), 3*time.Second); status != http.StatusOK {
			return fmt.Errorf("job %s was not accepted", jobID(jobs+i))
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(21 * time.Second)
	for i := range jobs {
		f.checkOverlap(jobID(i), v)
	}
	return nil
}

// checkOverlap checks that no work unit of a job ran twice at the same time.
func (f *fleet) checkOverlap(job string, v *verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := func(b beginning) time.Time {
		for _, e := range f.finish {
			if e.task == b.task && e.attempt == b.attempt && e.worker == b.worker && e.at.After(b.at) {
				return e.at
			}
		}
		return time.Now()
	}
	for i, a := range f.begins {
		for _, b := range f.begins[:i] {
			if a.task != b.task || a.task[:16] != job {
				continue
			}
			if end := until(b); end.After(a.at) {
				v.breaks("TWICE: %s began on %s (attempt %d) at %.3f s while it ran on %s (attempt %d) from %.3f s to %.3f s", a.task, a.worker, a.attempt, f.rec.since(a.at), b.worker, b.attempt, f.rec.since(b.at), f.rec.since(end))
			}
		}
	}
}

// playAdvice sends jobs to a queue that needs advice, for some seconds more than usual.
func playAdvice(f *fleet, trouble bool, v *verdict) error {
	const (
		usual    = 3.0 // jobs a second
		burst    = 2.6 // times the usual
		burstFor = 4 * time.Second
		traffic  = 30 * time.Second
		finish   = 14 * time.Second // finish_s
		watch    = 10 * time.Second
	)
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	rejected := 0
	for n := 0; time.Since(begin) < traffic; n++ {
		rate := usual
		if at := time.Since(begin); trouble && at > 5*time.Second && at < 5*time.Second+burstFor {
			rate *= burst
		}
		wg.Go(func() {
			id := jobID(n)
			for range 5 {
				switch f.client(f.entries[n%len(f.entries)]).post(id, oneUnit("run=500"), 3*time.Second) {
				case http.StatusOK:
					mu.Lock()
					accepted[id] = time.Now()
					mu.Unlock()
					return
				case http.StatusTooManyRequests, http.StatusServiceUnavailable:
					mu.Lock()
					rejected++
					mu.Unlock()
					return
				}
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	answered, left, refused := f.advice.counts()
	f.rec.note("traffic ends: %d jobs accepted, %d rejected; advice: %d calls answered, %d whose caller had left, %d rejected", len(accepted), rejected, answered, left, refused)
	time.Sleep(finish)
	open := f.notDone(accepted)
	f.rec.note("%v after the traffic: %d accepted jobs are not done", finish, len(open))
	before := f.startCount()
	time.Sleep(watch)
	answered, left, refused = f.advice.counts()
	still := f.notDone(accepted)
	f.rec.note("%v later: %d accepted jobs are not done, %d starts meanwhile; advice so far: %d calls answered, %d whose caller had left, %d rejected", watch, len(still), f.startCount()-before, answered, left, refused)
	for _, id := range still {
		if len(f.startsOf(id)) == 0 {
			v.breaks("LOST: job %s was accepted %.1f s ago, and no work unit of it has begun; the pool is idle", id, time.Since(accepted[id]).Seconds())
		}
	}
	return nil
}

// notDone returns the jobs of one work unit that has not ended done.
func (f *fleet) notDone(accepted map[string]time.Time) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		if f.endsOf(id)["done"] == 0 {
			out = append(out, id)
		}
	}
	return out
}

func (f *fleet) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.begins)
}

// playTimed hands in jobs with a start time. The daemon at which the client has been, and which owns the pool, is killed;
// then the client's calls reach the other daemons.
func playTimed(f *fleet, trouble bool, v *verdict) error {
	const (
		jobs    = 6
		earlyMS = 250 * time.Millisecond
		down    = 3500 * time.Millisecond
		contact = 3 * time.Second
	)
	owner := f.owner(partition(f))
	if owner == nil {
		return fmt.Errorf("the pool has no owner")
	}
	at := []*entry{owner}
	if trouble {
		owner.signal(syscall.SIGKILL)
		at = slices.DeleteFunc(slices.Clone(f.entries), func(e *entry) bool { return e == owner })
		time.Sleep(down)
	}
	time.Sleep(contact) // so that the other daemons are in touch
	f.rec.note("the client is at %d daemons; the owner of the pool is %s", len(at), nameOf(f.owner(partition(f))))
	due := map[string]time.Time{}
	for i := range jobs {
		id := jobID(i)
		due[id] = time.Now().Add(3 * time.Second).Truncate(time.Second).Add(900 * time.Millisecond)
		body := toJSON(map[string]any{"spec": "run=300", "repeat-count": 1, "start-at-ms": due[id].UnixMilli(), "period-ms": 1000, "phases": []any{map[string]any{"count": 1, "cpu": 880, "mem-mb": 1800, "est-runtime-ms": 300}}})
		f.rec.note("job %s starts at %.3f s", id, f.rec.since(due[id]))
		if status := f.client(at[i%len(at)]).post(id, body, 3*time.Second); status != http.StatusOK {
			return fmt.Errorf("job %s was not accepted", id)
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	for i := range jobs {
		id := jobID(i)
		for _, b := range f.startsOf(id) {
			early := due[id].Sub(b.at)
			f.rec.note("%s began %d ms before its time", b.task, early.Milliseconds())
			if early > earlyMS {
				v.breaks("ORDER: %s began on %s %d ms before its time, early_ms is %v", b.task, b.worker, early.Milliseconds(), earlyMS)
			}
		}
	}
	return nil
}

func nameOf(e *entry) string {
	if e == nil {
		return "unknown"
	}
	return e.name
}

// partition returns the partition of the pool.
func partition(f *fleet) int { return int(shard.PartitionOf(pool, 12)) }
