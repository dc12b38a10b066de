package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/jobs"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/shard"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/platform"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	// senders submit jobs at the same time, each one after the other.
	senders = 16
	// firstID is the lowest id of the jobs of a crowd. Ordinary jobs have lower ones.
	firstID = 0x100000
)

// post sends a request for a job and returns the status, 0 if there is no response.
func post(client *http.Client, method, addr, pool string, id int, body string) int {
	req, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s/%s/%016x", addr, pool, id), strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = jobHost
	req.Header.Set(local.DeadlineHeader, "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// submitAll submits n jobs to a pool, each once, to the daemons in turn, and cancels each afterwards if that is asked for.
func submitAll(t *testing.T, daemons []*jobd, pool string, from, n int, body string, cancel bool) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders, Proxy: nil}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	var next, accepted atomic.Int64
	var all sync.WaitGroup
	for range senders {
		all.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				addr, id := daemons[i%len(daemons)].client, firstID+from+i
				if post(client, http.MethodPost, addr, pool, id, body) == http.StatusOK {
					accepted.Add(1)
				}
				if cancel {
					post(client, http.MethodDelete, addr, pool, id, "")
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d jobs accepted", accepted.Load(), n)
}

var (
	manySteps   = local.ManySteps()
	longStrings = local.LongString(240_000)
)

// Guards against the loss of a process to jobs that it accepts: their number was bounded, and not what they take in memory.
func TestJobdAcceptedJobs(t *testing.T) {
	inAnHour := local.Scheduled(100, 1, time.Now().Add(time.Hour))
	for _, test := range []struct {
		name   string
		count  int
		body   string
		cancel bool
	}{
		{"steps and dependencies", 400, manySteps, false},
		{"long strings", 500, longStrings, false},
		{"tasks", 400, local.ManyTasks(100), false},
		{"tasks that all run", 40, local.ManyTasks(0), false},
		{"occurrences", 200, local.ManyOccurrences(), false},
		{"steps and dependencies, canceled", 400, manySteps, true},
		{"due in an hour", 4500, inAnHour, false}, // all other jobs were refused for that hour, by the number of active jobs
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startJobd(t)
			submitAll(t, []*jobd{d}, pool, 0, test.count, test.body, test.cancel)
			d.settle()
			d.check(jobdMemory)
			d.awaitJob(2)
			d.check(jobdMemory)
		})
	}
}

// startMembers starts three daemons.
func startMembers(t *testing.T, fleet *local.Fleet) []*jobd {
	t.Helper()
	return []*jobd{startMember(t, fleet, "edge-1"), startMember(t, fleet, "edge-2"), startMember(t, fleet, "edge-3")}
}

// checkLast checks and ends all daemons but the last one, which takes over their partitions, and checks that one.
func checkLast(daemons []*jobd) {
	last := len(daemons) - 1
	for _, d := range daemons[:last] {
		d.t.Helper()
		d.check(jobdMemory)
		d.kill()
	}
	daemons[last].awaitJob(2)
	daemons[last].settle()
	daemons[last].check(jobdMemory)
}

// Guards against the loss of one process after the other to the same accepted jobs, which each takes over from the one before.
func TestJobdTakeover(t *testing.T) {
	fleet := newFleet(t)
	daemons := startMembers(t, fleet)
	submitAll(t, daemons, pool, 0, 400, manySteps, false)
	checkLast(daemons)
}

// Guards against the loss of a process to cancels of jobs that nobody submits, and against one that is confirmed and not kept: by
// the bound of what a partition keeps, or by the next owner.
func TestJobdCancellations(t *testing.T) {
	const count, refusedAtLeast = 9000, 1000 // the partition has space for some 6,000
	fleet := newFleet(t)
	daemons := startMembers(t, fleet)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders, Proxy: nil}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	statuses := make([]int, count)
	var next atomic.Int64
	var all sync.WaitGroup
	for range senders {
		all.Go(func() {
			for i := int(next.Add(1)) - 1; i < count; i = int(next.Add(1)) - 1 {
				statuses[i] = post(client, http.MethodDelete, daemons[i%len(daemons)].client, pool, firstID+i, "")
			}
		})
	}
	all.Wait()
	counts := map[int]int{}
	for _, status := range statuses {
		counts[status]++
	}
	t.Logf("statuses of the cancels: %v", counts)
	if got := counts[http.StatusServiceUnavailable]; got < refusedAtLeast || got+counts[http.StatusGone] < count*9/10 {
		t.Errorf("statuses of the cancels: got %v, want 410, and 503 for %d or more", counts, refusedAtLeast)
	}
	checkLast(daemons)
	last := daemons[len(daemons)-1]
	for i := 0; i < count; i += 97 {
		if statuses[i] != http.StatusGone {
			continue
		}
		if got, want := post(client, http.MethodPost, last.client, pool, firstID+i, local.TwoSteps("5", 5, 2, 1)), http.StatusGone; got != want {
			t.Errorf("submission of a job whose cancel was confirmed: got %d, want %d", got, want)
		}
	}
	last.check(jobdMemory)
}

// Guards against the loss of a process whose pools are all full, each within the bound of its partition, and which takes over those of
// other processes.
func TestJobdManyPools(t *testing.T) {
	pools := []string{pool, "sew", "iron", "pack", "press", "fold"}
	fleet, err := local.NewFleet(t.Context(), pools, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	fleet.Configure(context.Background(), 1, jobHost, pools)
	daemons := startMembers(t, fleet)
	for i, p := range pools {
		submitAll(t, daemons, p, i*200, 200, longStrings, false)
	}
	checkLast(daemons)
}

// Guards against an owner that can't come up because the records of its partition, of a version without bounds, take more
// memory than it has. All the jobs must be completed.
func TestJobdLargeRecords(t *testing.T) {
	const count = 300
	fleet := newFleet(t)
	partition := plog.TopicPartition{Topic: shard.JobsTopic, Partition: shard.PartitionOf(ident.PoolID(pool), partitions)}
	spec, err := platform.DecodeSpec([]byte(local.LongTask(240_000)))
	if err != nil {
		t.Fatal(err)
	}
	queue := work.Queue{ID: "q-" + work.QueueID(pool), Pool: ident.PoolID(pool), MaxAttempts: 2, SlackFactor: 1.6, Objective: 600 * time.Millisecond}
	for i := range count {
		r := jobs.Record{ID: work.JobID(fmt.Sprintf("%016x", firstID+i)), Queue: queue, Pool: queue.Pool, Spec: *spec, Accepted: time.Now()}
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := fleet.Store.Log.Append(t.Context(), partition, plog.Writer{}, []plog.Record{{Key: string(r.ID), Value: value}}); err != nil {
			t.Fatal(err)
		}
	}
	d := startMember(t, fleet, "edge")
	d.settle()
	d.check(jobdMemory)
	d.awaitJob(2)
	for i := range count {
		d.awaitState(firstID+i, "completed")
	}
	d.check(jobdMemory)
}

// Guards against the loss of a process that passes requests on to an owner which doesn't answer.
func TestJobdSlowOwner(t *testing.T) {
	fleet := newFleet(t)
	stopped, d := startMember(t, fleet, "edge-1"), startMember(t, fleet, "edge-2")
	stopped.signal(syscall.SIGSTOP)
	defer stopped.signal(syscall.SIGCONT)
	gather(t, d.client, bodyCrowd, func(i int, c net.Conn) error {
		return send(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", jobHeader(i), len(manySteps), manySteps))
	})
	d.settle()
	d.check(jobdMemory)
	stopped.signal(syscall.SIGCONT)
	d.awaitJob(2)
	d.check(jobdMemory)
	stopped.check(jobdMemory)
}
