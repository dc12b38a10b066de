package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

// The tenants, one for each client. Without caps the tasks of the first two held about four times as much as baseCPU and
// baseMem at most (seed 1).
const (
	cpuTenant  = iota // with a cap of CPU
	memTenant         // with a cap of memory
	freeTenant        // without a cap; its second key is replaced now and then
	loseTenant        // without a cap; loses all of its keys at half time
	tenantCount
)

const (
	baseCPU  = 4000 // thousandths of a core
	baseMem  = 384  // MB; a task of local.TwoSteps needs 64
	needMem  = 64
	firstCPU = 500 // thousandths of a core, of the tasks of the first step; those of the second need twice as much
)

const probeClients = 4 // many of their requests wait for a daemon that is paused or cut off

// TestTenants injects the faults of TestSoak while keys of tenants are revoked, and caps raised and lowered. It guards
// against starts above a cap, requests that are executed with an unknown or revoked key, and jobs that are shown to another
// tenant or canceled by it, besides what TestSoak checks.
func TestTenants(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, &tenantChanges{}, "") })
	}
}

// keyTimes says when a key was in force. Times of changes that have not happened are zero.
type keyTimes struct {
	tenant    int
	added     time.Time // confirmed by the log
	revoking  time.Time // when its revocation was sent to the log
	revokedAt time.Time // confirmed by the log
}

// capTimes is a cap that was configured.
type capTimes struct {
	cap     int64
	endedAt time.Time // when the log had confirmed the next one; zero before
}

// tenantChanges changes keys and caps, and checks what clients are answered and what targets start.
type tenantChanges struct {
	t       *testing.T
	fleet   *local.Fleet
	jobs    *outcomes
	version int64

	mu       sync.Mutex
	held     [tenantCount][]string // keys in the newest configuration
	keys     map[string]*keyTimes
	caps     [tenantCount][]capTimes
	total    [tenantCount]int64 // what the running tasks hold of the capped resource
	highest  [tenantCount]int64
	statuses map[int]int // responses to requests of probe
	probes   []string    // paths of submissions with a key that was not in force
}

// init writes the first configuration.
func (c *tenantChanges) init(t *testing.T, fleet *local.Fleet, jobs *outcomes) {
	c.t, c.fleet, c.jobs, c.keys, c.statuses = t, fleet, jobs, map[string]*keyTimes{}, map[int]int{}
	fleet.Recorder.Watch = c.watch
	var held [tenantCount][]string
	for n := range held {
		held[n] = []string{fmt.Sprintf("key-%d-0", n), fmt.Sprintf("key-%d-1", n)}
	}
	c.configure(held, baseCPU, baseMem)
}

// configure writes a configuration, and notes what it changes before and after the log has confirmed it.
func (c *tenantChanges) configure(held [tenantCount][]string, cpu, mem int64) {
	c.version++
	caps := [tenantCount]int64{cpuTenant: cpu, memTenant: mem}
	c.mu.Lock()
	present := map[string]bool{}
	c.fleet.Tenants = nil
	for n, keys := range held {
		for _, key := range keys {
			present[key] = true
			if c.keys[key] == nil {
				c.keys[key] = &keyTimes{tenant: n}
			}
		}
		if caps[n] > 0 {
			c.caps[n] = append(c.caps[n], capTimes{cap: caps[n]})
		}
		c.fleet.Tenants = append(c.fleet.Tenants, local.Tenant{Name: fmt.Sprintf("tenant-%d", n), Keys: append([]string{}, keys...), Weight: 1})
	}
	c.fleet.Tenants[cpuTenant].Cap.CPU, c.fleet.Tenants[memTenant].Cap.MemoryMB = cpu, mem
	for key, k := range c.keys {
		if !present[key] && k.revoking.IsZero() {
			k.revoking = time.Now()
		}
	}
	c.held = held
	c.mu.Unlock()
	c.fleet.Configure(c.t.Context(), c.version, jobHost, soakPools)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, k := range c.keys {
		switch {
		case present[key] && k.added.IsZero():
			k.added = now
		case !present[key] && k.revokedAt.IsZero():
			k.revokedAt = now
		}
	}
	for n := range c.caps {
		if last := len(c.caps[n]) - 2; last >= 0 {
			c.caps[n][last].endedAt = now
		}
	}
}

// run changes keys and caps until end, and sends requests that must not be executed.
func (c *tenantChanges) run(rng *rand.Rand, daemons []*daemonProcess, end time.Time, logf func(string, ...any)) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for range probeClients {
		r := rand.New(rand.NewPCG(rng.Uint64(), 0))
		probes.Go(func() {
			for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				c.probe(r, daemons[r.IntN(len(daemons))])
			}
		})
	}
	half := time.Now().Add(time.Until(end) / 2)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
		held := c.held
		if rng.IntN(2) == 0 {
			held[freeTenant] = []string{held[freeTenant][0], fmt.Sprintf("key-%d-%d", freeTenant, c.version+1)}
		}
		if time.Now().After(half) {
			held[loseTenant] = nil
		}
		cpu, mem := int64(baseCPU*(1+rng.IntN(4))/2), int64(baseMem*(1+rng.IntN(4))/2)
		c.configure(held, cpu, mem)
		logf("version %d: caps %d and %d, keys %q", c.version, cpu, mem, held)
	}
}

// finish gives the tenant without keys a new one, so that its jobs can be looked up.
func (c *tenantChanges) finish() {
	held := c.held
	held[loseTenant] = []string{"key-of-the-end"}
	c.configure(held, baseCPU, baseMem)
}

// check checks that no submission of probe with a key that was not in force has run. It is called last.
func (c *tenantChanges) check() {
	for _, path := range c.probes {
		if id := path[strings.LastIndexByte(path, '/')+1:]; c.fleet.Recorder.Started(id) {
			c.t.Errorf("%s has run, though it was submitted with a key that was not in force", path)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t.Logf("%d versions, highest totals %v of caps %d and %d, probes by status %v", c.version, c.highest[:memTenant+1], baseCPU, baseMem, c.statuses)
}

// tenantOf returns the tenant of a job, which is that of the client that has submitted it.
func tenantOf(path string) int {
	id := path[strings.LastIndexByte(path, '/')+1:]
	n, _ := strconv.ParseInt(id[:8], 16, 64) // the IDs are those of submitJobs
	return int(n) - 1
}

// key returns a key of the tenant; the last one that it had if it has none.
func (c *tenantChanges) key(tenant int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.held[tenant]; len(held) > 0 {
		return held[0]
	}
	return fmt.Sprintf("key-%d-0", tenant)
}

// probe sends a request with a key that is unknown, revoked, or another tenant's. One in four has a right key.
func (c *tenantChanges) probe(rng *rand.Rand, p *daemonProcess) {
	c.jobs.mu.Lock()
	job := ""
	for path := range c.jobs.accepted {
		job = path
		break
	}
	c.jobs.mu.Unlock()
	if job == "" {
		return
	}
	c.mu.Lock()
	owner, key, bad := tenantOf(job), "never-configured", true
	switch rng.IntN(4) {
	case 0:
		for k, times := range c.keys {
			if !times.revokedAt.IsZero() && time.Since(times.revokedAt) > applyTime {
				key = k
			}
		}
	case 1, 2:
		bad = false
		if held := c.held[(owner+1+rng.IntN(tenantCount-1))%tenantCount]; len(held) > 0 {
			key = held[rng.IntN(len(held))]
		}
	case 3:
		bad = false
		if held := c.held[owner]; len(held) > 0 {
			key = held[rng.IntN(len(held))]
		}
	}
	method, body := []string{http.MethodGet, http.MethodDelete, http.MethodPost}[rng.IntN(3)], ""
	if k := c.keys[key]; k != nil && k.tenant == owner && !bad {
		method = http.MethodGet // the job is to go on
	}
	if method == http.MethodPost {
		body = local.TwoSteps("100", 300, 1, 1)
		if bad {
			job = fmt.Sprintf("/%s/%08x%08x", soakPools[0], tenantCount+1, len(c.probes))
			c.probes = append(c.probes, job)
		}
	}
	c.mu.Unlock()
	status, _ := c.call(method, p, key, job, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
}

// call sends a request with a key, and checks the status of the response.
func (c *tenantChanges) call(method string, p *daemonProcess, key, path, body string) (int, string) {
	sent := time.Now()
	c.mu.Lock()
	before, known := keyTimes{}, c.keys[key] != nil
	if known {
		before = *c.keys[key]
	}
	c.mu.Unlock()
	status, state := call(method, p.clientAddr, path, key, body)
	c.mu.Lock()
	revoked := known && !c.keys[key].revoking.IsZero() // perhaps while the request was on its way
	c.mu.Unlock()
	switch status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return status, state
	}
	switch age := sent.Sub(before.revokedAt); {
	case !known && status != http.StatusUnauthorized:
		c.t.Errorf("daemon %d: %s %s with an unknown key: status %d, want 401", p.index, method, path, status)
	case known && !before.revokedAt.IsZero() && age > applyTime && status != http.StatusUnauthorized:
		c.t.Errorf("daemon %d: %s %s with key %s: status %d, %v after the key was revoked, want 401", p.index, method, path, key, status, age)
	case known && !revoked && !before.added.IsZero() && sent.Sub(before.added) > denialTime && (status == http.StatusUnauthorized || status == http.StatusNotFound):
		c.t.Errorf("daemon %d denies %s %s with key %s: status %d, %v after the key was added", p.index, method, path, key, status, sent.Sub(before.added))
	case status == http.StatusGatewayTimeout: // the owner of the job's pool has not answered
	case known && status != http.StatusUnauthorized && before.tenant != tenantOf(path) && status != otherTenantStatus(method):
		c.t.Errorf("daemon %d: %s %s with key %s of another tenant: status %d, want %d", p.index, method, path, key, status, otherTenantStatus(method))
	}
	return status, state
}

// otherTenantStatus returns the status of the response to a request for a job of another tenant.
func otherTenantStatus(method string) int {
	if method == http.MethodPost {
		return http.StatusConflict
	}
	return http.StatusGone
}

// watch adds or removes what a task holds of its tenant's capped resource, and checks starts against the highest cap that may
// be in force. It is called by the recorder of the targets.
func (c *tenantChanges) watch(task string, started bool) {
	id, err := work.ParseTaskID(task)
	tenant := tenantOf(task[:strings.IndexByte(task, '.')])
	if err != nil || tenant < 0 || tenant >= tenantCount {
		return // of a job of probe, which is checked by itself
	}
	need := int64(firstCPU * (1 + id.Step))
	if tenant == memTenant {
		need = needMem
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !started {
		c.total[tenant] -= need
		return
	}
	c.total[tenant] += need
	c.highest[tenant] = max(c.highest[tenant], c.total[tenant])
	limit := int64(0)
	for _, x := range c.caps[tenant] {
		if x.endedAt.IsZero() || time.Since(x.endedAt) <= applyTime {
			limit = max(limit, x.cap)
		}
	}
	if limit > 0 && c.total[tenant]*10 > limit*11+need*10 {
		c.t.Errorf("the start of %s raises the total of tenant %d to %d, cap %d", task, tenant, c.total[tenant], limit)
	}
}
