package crowd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	// jobdMemory is the memory setting of toucanjobd, and the bound on its resident memory. The smallest VMs have 160 MB.
	jobdMemory = 96_000_000
	jobHost    = "desk.example"
	pool       = "cut"
	partitions = 12 // of the log's topics
	// bodyLength is of legal size: a body may have 262,144 bytes.
	bodyLength = 261_000
	// bodyCrowd sends more than the memory setting.
	bodyCrowd = 600
	// connectionCrowd opens more connections than there are descriptors.
	connectionCrowd = 1200
	// frameCrowd sends frames of the largest legal size, more than the memory setting.
	frameCrowd  = 200
	frameLength = 1 << 20
	// unreadCrowd sends unreadRequests requests each, whose responses fill the buffers of a connection many times.
	unreadCrowd    = 100
	unreadRequests = 100_000
)

// jobd is a toucanjobd and where it listens.
type jobd struct {
	*process
	client, readiness, peer, metrics string
}

func startJobd(t *testing.T) *jobd { return startMember(t, newFleet(t), "edge") }

// newFleet starts a fake platform with one pool of one target.
func newFleet(t *testing.T) *local.Fleet {
	t.Helper()
	fleet, err := local.NewFleet(t.Context(), []string{pool}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	fleet.Configure(context.Background(), 1, jobHost, []string{pool})
	return fleet
}

// startMember starts a daemon beside those that the platform has, and waits until it serves.
func startMember(t *testing.T, fleet *local.Fleet, entry string) *jobd {
	t.Helper()
	d := &jobd{client: local.Addr(), readiness: local.Addr(), peer: local.Addr(), metrics: local.Addr()}
	d.process = start(t, "toucanjobd", fmt.Sprintf(`entry = %q
zone = "z1"
client = %q
readiness = %q
peer = %q
metrics = %q
memory = %d
[log]
address = %q
parts = %d
[bounds]
stop_timeout = "400ms"
`, entry, d.client, d.readiness, d.peer, d.metrics, jobdMemory, fleet.Addr, partitions))
	d.awaitJob(1)
	return d
}

// awaitJob waits until a submission is answered with success.
func (d *jobd) awaitJob(id int) {
	d.t.Helper()
	await(d.t, "submission", isStatus(http.StatusOK), func() *http.Request {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/cut/%016x", d.client, id), strings.NewReader(local.TwoSteps("5", 5, 2, 1)))
		if err != nil {
			d.t.Fatal(err)
		}
		req.Host = jobHost
		req.Header.Set(local.DeadlineHeader, "3000")
		return req
	})
}

// awaitState waits until a job has a state.
func (d *jobd) awaitState(id int, state string) {
	d.t.Helper()
	want := fmt.Sprintf(`{"state":%q}`, state)
	awaitBody(d.t, "state of a job", func(status int, body string) bool { return status == http.StatusOK && strings.TrimSpace(body) == want }, func() *http.Request {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/%s/%016x", d.client, pool, id), nil)
		if err != nil {
			d.t.Fatal(err)
		}
		req.Host = jobHost
		return req
	})
}

// awaitAnswer waits until a listener answers any request.
func (d *jobd) awaitAnswer(addr string) {
	d.t.Helper()
	await(d.t, "request to "+addr, anyStatus, func() *http.Request {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
		if err != nil {
			d.t.Fatal(err)
		}
		return req
	})
}

// jobBody is a job that is valid but for its payload, which fills a body of legal size.
var jobBody = []byte(fmt.Sprintf(`{"spec":"%s"}`, strings.Repeat("x", bodyLength-len(`{"spec":""}`))))

// emptySteps is a body whose decoded form is many times larger.
var emptySteps = []byte(local.EmptySteps(bodyLength/3 - 9))

func jobHeader(i int) string { return jobHeaderTo("cut")(i) }

func jobHeaderTo(queue string) func(i int) string {
	return func(i int) string {
		return fmt.Sprintf("POST /%s/%016x HTTP/1.1\r\nHost: %s\r\n%s: 3000\r\n", queue, 1000+i, jobHost, local.DeadlineHeader)
	}
}

// wideHeader is a header of legal size with many short fields, which take much more memory than bytes.
func wideHeader(i int) string {
	var b strings.Builder
	b.WriteString(jobHeader(i))
	for n := range 1800 {
		fmt.Fprintf(&b, "%x:\r\n", 0x1000+n)
	}
	return b.String()
}

// Guards against the loss of a process to clients that send bodies, headers or requests without end: toucanjobd ran out of
// memory or descriptors, or answered nobody.
func TestJobdClients(t *testing.T) {
	for _, test := range []struct {
		name  string
		count int
		sends member
	}{
		{"bodies sent whole", bodyCrowd, bodies(jobHeader, jobBody, 1)},
		{"bodies sent piece by piece", bodyCrowd, bodies(jobHeader, jobBody, pieces)},
		{"bodies in large chunks", bodyCrowd, chunkedBodies(jobHeader, jobBody, 32<<10)},
		{"bodies in chunks of 16 bytes", bodyCrowd, chunkedBodies(jobHeader, jobBody, 16)},
		{"bodies that are larger when decoded", bodyCrowd, bodies(jobHeader, emptySteps, 1)},
		{"bodies after wide headers", bodyCrowd, bodies(wideHeader, jobBody, 1)},
		{"bodies for an unknown queue", bodyCrowd, bodies(jobHeaderTo("none"), jobBody, 1)},
		{"short bodies that stop", connectionCrowd, bodies(jobHeader, []byte("{}"), 1)},
		{"no request", connectionCrowd, silent},
		{"headers that stop", connectionCrowd, says("POST /cut/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nX-")},
		{"keep-alive without a next request", connectionCrowd, says("GET /cut/ HTTP/1.1\r\nHost: " + jobHost + "\r\n\r\n")},
		{"responses that nobody reads", unreadCrowd, unread("GET /cut/ HTTP/1.1\r\nHost: "+jobHost+"\r\n\r\n", unreadRequests)},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startJobd(t)
			gather(t, d.client, test.count, test.sends)
			d.settle()
			d.check(jobdMemory)
			d.awaitJob(2)
			d.check(jobdMemory)
		})
	}
}

// Guards against the same at the listeners for other processes, for the balancer's check and for metrics.
func TestJobdOtherListeners(t *testing.T) {
	post := func(int) string { return "POST / HTTP/1.1\r\nHost: a.example\r\n" }
	get := "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for _, test := range []struct {
		name  string
		to    func(*jobd) string
		count int
		sends member
	}{
		{"peer: no request", peerOf, connectionCrowd, silent},
		{"peer: upgrades that stop", peerOf, connectionCrowd, says(strings.TrimSuffix(upgradeRequest("/link"), "\r\n"))},
		{"peer: bodies that stop", peerOf, connectionCrowd, bodies(post, jobBody, 1)},
		{"peer: no frame", peerOf, connectionCrowd, says(upgradeRequest("/link"))},
		{"peer: frames that stop", peerOf, frameCrowd, frames("/link", frameLength)},
		{"readiness: no request", readinessOf, connectionCrowd, silent},
		{"readiness: bodies that stop", readinessOf, connectionCrowd, bodies(post, jobBody, 1)},
		{"readiness: responses that nobody reads", readinessOf, unreadCrowd, unread(get, unreadRequests)},
		{"metrics: no request", metricsOf, connectionCrowd, silent},
		{"metrics: bodies that stop", metricsOf, connectionCrowd, bodies(post, jobBody, 1)},
		{"metrics: responses that nobody reads", metricsOf, connectionCrowd, unread(get, 300)},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startJobd(t)
			gather(t, test.to(d), test.count, test.sends)
			d.settle()
			d.check(jobdMemory)
			if test.to(d) == d.peer {
				awaitUpgrade(t, d.peer, upgradeRequest("/link"))
			} else {
				d.awaitAnswer(test.to(d))
			}
			d.awaitJob(2)
			d.check(jobdMemory)
		})
	}
}

func peerOf(d *jobd) string      { return d.peer }
func readinessOf(d *jobd) string { return d.readiness }
func metricsOf(d *jobd) string   { return d.metrics }
