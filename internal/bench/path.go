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

// Goals for the request path.
const (
	minThroughputRatio = 0.4
	maxAddedP50Micros  = 250
	maxAddedP99Micros  = 2000
)

const (
	pathRequestBytes  = 256
	pathResponseBytes = 1024
	pathSlots         = 8
	pathConnections   = 64
	latencyLimit      = 30 * time.Second
	latencyDigits     = 3
)

// PathOptions sets the length of the measurement.
type PathOptions struct {
	Rounds    int           // measured rounds on each way
	RoundTime time.Duration // time of one round
	Callers   int           // concurrent callers, each with one request at a time
}

// PathResult compares the way through one entry with the way straight to the target.
type PathResult struct {
	ThroughputRatio float64 `json:"throughput_ratio"` // through the entry / straight
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
	WorstRoundRatio   float64 `json:"worst_round_ratio"` // of the rounds' throughput ratios
	BestRoundRatio    float64 `json:"best_round_ratio"`
	Requests          [2]int  `json:"requests"` // straight, through
}

// way is one of the two ways to the target with what was measured on it.
type way struct {
	url       string
	client    *http.Client
	latencies *hdrhistogram.Histogram // microseconds
	took      time.Duration
	cpu       time.Duration
	rate      float64 // of the last round
}

// Path sends requests straight to a target and through one entry, in turns. Entry, target
// and callers share this process and use loopback sockets; the entry is a whole daemon.
func Path(ctx context.Context, opt PathOptions) (*PathResult, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	addr, err := servePathTarget(ctx)
	if err != nil {
		return nil, err
	}
	f, err := newFleet(ctx, pathFile(addr))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.add(); err != nil {
		return nil, err
	}
	straight := newWay("http://"+addr, opt.Callers)
	through := newWay("http://"+f.daemons[0].CallerAddr(), opt.Callers)
	r := &PathResult{Callers: opt.Callers, Rounds: opt.Rounds}
	for round := range opt.Rounds + 1 {
		for _, w := range []*way{straight, through} {
			if err := w.round(ctx, opt); err != nil {
				return nil, err
			}
			if round == 0 { // opens connections and warms caches
				w.latencies.Reset()
				w.took, w.cpu = 0, 0
			}
		}
		if round == 0 {
			continue
		}
		ratio := through.rate / straight.rate
		r.BestRoundRatio = max(r.BestRoundRatio, ratio)
		if round == 1 || ratio < r.WorstRoundRatio {
			r.WorstRoundRatio = ratio
		}
	}
	r.compare(straight, through)
	return r, nil
}

func newWay(base string, callers int) *way {
	return &way{
		url: base + "/path/1",
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: callers, DisableCompression: true,
		}},
		latencies: hdrhistogram.New(1, latencyLimit.Microseconds(), latencyDigits),
	}
}

// round sends requests for the time of one round, one at a time from each caller.
func (w *way) round(ctx context.Context, opt PathOptions) error {
	g, ctx := errgroup.WithContext(ctx)
	began, cpu := time.Now(), usage.CPU()
	end := began.Add(opt.RoundTime)
	parts := make([]*hdrhistogram.Histogram, opt.Callers)
	for i := range parts {
		parts[i] = hdrhistogram.New(1, latencyLimit.Microseconds(), latencyDigits)
		g.Go(func() error { return w.call(ctx, end, parts[i]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	took := time.Since(began)
	w.cpu += usage.CPU() - cpu
	var n int64
	for _, p := range parts {
		n += p.TotalCount()
		w.latencies.Merge(p)
	}
	w.took += took
	w.rate = float64(n) / took.Seconds()
	return nil
}

func (w *way) call(ctx context.Context, end time.Time, h *hdrhistogram.Histogram) error {
	body := bytes.Repeat([]byte("r"), pathRequestBytes)
	for {
		began := time.Now()
		if !began.Before(end) {
			return nil
		}
		if err := w.once(ctx, body); err != nil {
			return err
		}
		if err := h.RecordValue(time.Since(began).Microseconds()); err != nil {
			return errors.Wrap(err, "latency")
		}
	}
}

func (w *way) once(ctx context.Context, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("%s: %s: %s", w.url, resp.Status, text)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != pathResponseBytes {
		return errors.Newf("%s: response has %d bytes, error %v", w.url, n, err)
	}
	return nil
}

func (r *PathResult) compare(straight, through *way) {
	rate := func(w *way) float64 { return float64(w.latencies.TotalCount()) / w.took.Seconds() }
	const median, high = 50, 99
	r.DirectPerSecond, r.ViaEntryPerSecond = rate(straight), rate(through)
	r.ThroughputRatio = r.ViaEntryPerSecond / r.DirectPerSecond
	r.DirectP50Micros, r.ViaEntryP50Micros = straight.latencies.ValueAtQuantile(median), through.latencies.ValueAtQuantile(median)
	r.DirectP99Micros, r.ViaEntryP99Micros = straight.latencies.ValueAtQuantile(high), through.latencies.ValueAtQuantile(high)
	perRequest := func(w *way) float64 {
		return float64(w.cpu.Microseconds()) / float64(w.latencies.TotalCount())
	}
	r.DirectCPUMicros, r.ViaEntryCPUMicros = perRequest(straight), perRequest(through)
	r.AddedP50Micros = r.ViaEntryP50Micros - r.DirectP50Micros
	r.AddedP99Micros = r.ViaEntryP99Micros - r.DirectP99Micros
	r.Requests = [2]int{int(straight.latencies.TotalCount()), int(through.latencies.TotalCount())}
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

// servePathTarget serves a target that does as little as possible, so that the entry's share shows.
func servePathTarget(ctx context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	response := bytes.Repeat([]byte("a"), pathResponseBytes)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"in_flight":0}`) // the broker grants nothing before it has this report
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
		_, _ = w.Write(response) // an error shows on the caller's side
	})
	srv := &http.Server{ReadHeaderTimeout: serveTimeout, Handler: mux}
	go func() { _ = srv.Serve(l) }() // ends when closed below
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

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
