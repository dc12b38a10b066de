package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/toucanhatch/toucanhatch/internal/target"
	"github.com/toucanhatch/toucanhatch/internal/usage"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Goals for the throughput and latency of requests through an entry.
const (
	minThroughputRatio = 0.4
	maxAddedP50Micros  = 250
	maxAddedP99Micros  = 2000
)

const (
	pathRequestBytes         = 256
	pathResponseBytes        = 1024
	pathSlots                = 8
	pathConnections          = 64
	maxLatency               = 30 * time.Second
	latencySignificantDigits = 3
)

// PathOptions sets the length and the concurrency of the measurement.
type PathOptions struct {
	Rounds    int           // measured rounds of each path
	RoundTime time.Duration // length of one round
	Callers   int           // concurrent callers, each with one request at a time
}

// PathResult compares requests through one entry with requests sent directly to the target.
type PathResult struct {
	ThroughputRatio float64 `json:"throughput_ratio"` // through the entry / direct
	AddedP50Micros  int64   `json:"added_p50_us"`
	AddedP99Micros  int64   `json:"added_p99_us"`

	Callers           int     `json:"callers"`
	Rounds            int     `json:"rounds"`
	DirectPerSecond   float64 `json:"straight_per_second"`
	DirectP50Micros   int64   `json:"straight_p50_us"`
	DirectP99Micros   int64   `json:"straight_p99_us"`
	DirectCPUMicros   float64 `json:"straight_cpu_us"` // processor time of one request, callers and target included
	ViaEntryPerSecond float64 `json:"through_per_second"`
	ViaEntryP50Micros int64   `json:"through_p50_us"`
	ViaEntryP99Micros int64   `json:"through_p99_us"`
	ViaEntryCPUMicros float64 `json:"through_cpu_us"`
	WorstRoundRatio   float64 `json:"worst_round_ratio"` // lowest throughput ratio of a round
	BestRoundRatio    float64 `json:"best_round_ratio"`
	Requests          [2]int  `json:"requests"` // direct, through the entry
}

// pathClient sends requests on one of the two paths to the target and holds the measurements.
type pathClient struct {
	url           string
	client        *http.Client
	latencies     *hdrhistogram.Histogram // microseconds
	elapsed       time.Duration
	cpu           time.Duration
	lastRoundRate float64 // requests per second
}

// Path sends requests directly to a target and through one entry, in alternating rounds. Entry, target
// and callers run in this process and use loopback sockets; the entry is a complete daemon.
func Path(ctx context.Context, opt PathOptions) (*PathResult, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	addr, err := servePathTarget(ctx)
	if err != nil {
		return nil, err
	}
	f, err := newLocalFleet(ctx, pathFile(addr))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.addDaemon(); err != nil {
		return nil, err
	}
	direct := newPathClient("http://"+addr, opt.Callers)
	viaEntry := newPathClient("http://"+f.daemons[0].CallerAddr(), opt.Callers)
	r := &PathResult{Callers: opt.Callers, Rounds: opt.Rounds}
	for round := range opt.Rounds + 1 {
		for _, c := range []*pathClient{direct, viaEntry} {
			if err := c.runRound(ctx, opt); err != nil {
				return nil, err
			}
			if round == 0 { // a warm-up that opens connections and fills caches
				c.latencies.Reset()
				c.elapsed, c.cpu = 0, 0
			}
		}
		if round == 0 {
			continue
		}
		ratio := viaEntry.lastRoundRate / direct.lastRoundRate
		r.BestRoundRatio = max(r.BestRoundRatio, ratio)
		if round == 1 || ratio < r.WorstRoundRatio {
			r.WorstRoundRatio = ratio
		}
	}
	r.compare(direct, viaEntry)
	return r, nil
}

func newPathClient(baseURL string, callers int) *pathClient {
	return &pathClient{
		url: baseURL + "/path/1",
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: callers, DisableCompression: true,
		}},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits),
	}
}

// runRound sends requests for the length of one round, one at a time from each caller.
func (c *pathClient) runRound(ctx context.Context, opt PathOptions) error {
	g, ctx := errgroup.WithContext(ctx)
	began, cpu := time.Now(), usage.CPUTime()
	end := began.Add(opt.RoundTime)
	byCaller := make([]*hdrhistogram.Histogram, opt.Callers)
	for i := range byCaller {
		byCaller[i] = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
		g.Go(func() error { return c.sendUntil(ctx, end, byCaller[i]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	elapsed := time.Since(began)
	c.cpu += usage.CPUTime() - cpu
	var n int64
	for _, h := range byCaller {
		n += h.TotalCount()
		c.latencies.Merge(h)
	}
	c.elapsed += elapsed
	c.lastRoundRate = float64(n) / elapsed.Seconds()
	return nil
}

// sendUntil sends one request after the other until end and records the latencies in h.
func (c *pathClient) sendUntil(ctx context.Context, end time.Time, h *hdrhistogram.Histogram) error {
	body := bytes.Repeat([]byte("r"), pathRequestBytes)
	for {
		began := time.Now()
		if !began.Before(end) {
			return nil
		}
		if err := c.send(ctx, body); err != nil {
			return err
		}
		if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
			return errors.Wrap(err, "record latency")
		}
	}
}

// send sends one request and checks the status and the size of the response.
func (c *pathClient) send(ctx context.Context, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("%s: %s: %s", c.url, resp.Status, text)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != pathResponseBytes {
		return errors.Newf("%s: read %d bytes of the response, error %v", c.url, n, err)
	}
	return nil
}

// compare fills in the figures of both paths and their differences.
func (r *PathResult) compare(direct, viaEntry *pathClient) {
	rate := func(c *pathClient) float64 { return float64(c.latencies.TotalCount()) / c.elapsed.Seconds() }
	const p50, p99 = 50, 99
	r.DirectPerSecond, r.ViaEntryPerSecond = rate(direct), rate(viaEntry)
	r.ThroughputRatio = r.ViaEntryPerSecond / r.DirectPerSecond
	r.DirectP50Micros, r.ViaEntryP50Micros = direct.latencies.ValueAtQuantile(p50), viaEntry.latencies.ValueAtQuantile(p50)
	r.DirectP99Micros, r.ViaEntryP99Micros = direct.latencies.ValueAtQuantile(p99), viaEntry.latencies.ValueAtQuantile(p99)
	perRequest := func(c *pathClient) float64 {
		return float64(c.cpu.Microseconds()) / float64(c.latencies.TotalCount())
	}
	r.DirectCPUMicros, r.ViaEntryCPUMicros = perRequest(direct), perRequest(viaEntry)
	r.AddedP50Micros = r.ViaEntryP50Micros - r.DirectP50Micros
	r.AddedP99Micros = r.ViaEntryP99Micros - r.DirectP99Micros
	r.Requests = [2]int{int(direct.latencies.TotalCount()), int(viaEntry.latencies.TotalCount())}
}

// Bounds compares the result with the goals.
func (r *PathResult) Bounds() []Bound {
	return []Bound{
		{
			Key: "throughput_ratio", Met: r.ThroughputRatio >= minThroughputRatio,
			Want: fmt.Sprintf(">= %v", minThroughputRatio), Got: fmt.Sprintf("%.3f", r.ThroughputRatio),
		},
		{
			Key: "added_p50_us", Met: r.AddedP50Micros <= maxAddedP50Micros,
			Want: fmt.Sprintf("<= %d", maxAddedP50Micros), Got: fmt.Sprint(r.AddedP50Micros),
		},
		{
			Key: "added_p99_us", Met: r.AddedP99Micros <= maxAddedP99Micros,
			Want: fmt.Sprintf("<= %d", maxAddedP99Micros), Got: fmt.Sprint(r.AddedP99Micros),
		},
	}
}

// servePathTarget serves a target that does as little as possible, so that the differences are due to the entry.
func servePathTarget(ctx context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	response := bytes.Repeat([]byte("a"), pathResponseBytes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"in_flight":0}`) // the broker grants no permit before it has this report
	})
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/path/", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if id := r.Header.Get(target.RequestIDHeader); id != "" {
			w.Header().Set(target.RequestIDHeader, id)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(response) // the caller sees the error
	})
	srv := &http.Server{ReadHeaderTimeout: serveTimeout, Handler: mux}
	go func() { _ = srv.Serve(l) }() // ends when closed below
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// pathFile returns a file with one pool and one VM, the target at addr.
func pathFile(addr string) *fleet.File {
	return &fleet.File{
		Name: "path", SparePool: "spare",
		Pools: []fleet.Pool{{ID: "spare"}, {ID: "path", Routes: []string{"/path/"}, Owed: 1}},
		VMs: []fleet.VM{{
			ID: "path-1", Zone: "zone-01", Rack: "rack-1", Address: addr, Pool: "path",
			Processors: 1, Memory: ident.GiB, Slots: pathSlots, Connections: pathConnections,
		}},
	}
}
