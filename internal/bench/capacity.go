package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/wire"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Goals for the cost of control (fleet state, peer messages and platform requests) on one node,
// and the sizes of the measured fleets.
const (
	maxControlCPUPercent  = 2.6
	maxRSSMegabytes       = 32
	maxControlBytesPerSec = 5 * 1000
	vmsPerPool            = 33 // 8,000 workers over 246 pools
	smallFleetPools       = 5  // pools of a fleet with too few VMs for more
	capacityZones         = 16
	bytesPerMegabyte      = 1e6
	foldRecordsPerVM      = 3 // drain, drained, assign
	unusedPort            = 9 // nothing connects to it
)

// CapacityOptions sets the fleet sizes and numbers of daemons that are measured.
type CapacityOptions struct {
	VMs      []int         // fleet sizes
	Entries  []int         // numbers of idle daemons
	IdleTime time.Duration // time over which idle daemons are observed
}

// CapacityResult holds one value per fleet size in the first group of fields, and one value
// per fleet size and number of entries in the second, in the order of the options.
type CapacityResult struct {
	VMs                   []int     `json:"vms"`
	FoldBytesPerVM        []float64 `json:"fold_bytes_per_vm"`
	FoldNSPerRecord       []float64 `json:"fold_ns_per_record"`
	PublishBytesPerChange []int     `json:"publish_bytes_per_change"`
	CheckpointBytes       []int     `json:"checkpoint_bytes"`

	Entries                    []int     `json:"entries"`
	IdleVMs                    []int     `json:"idle_vms"` // fleet size of each idle run
	PeerBytesPerSecondIdle     []float64 `json:"peer_bytes_per_second_idle"`
	PlatformBytesPerSecond     []float64 `json:"platform_bytes_per_second_idle"`
	ControlCPUPercentIdle      []float64 `json:"control_cpu_percent_idle"`
	RSSMegabytes               []float64 `json:"rss_mb"` // of the whole process: the daemons and the fake platform
	RSSMegabytesPerExtraDaemon []float64 `json:"rss_mb_per_further_daemon"`
}

// Capacity measures how memory, traffic and processor time grow with the fleet; the figures
// in docs/CAPACITY.md are calculated from these slopes.
func Capacity(ctx context.Context, opt CapacityOptions) (*CapacityResult, error) {
	r := &CapacityResult{VMs: opt.VMs}
	for _, n := range opt.VMs {
		if err := r.measureFold(n); err != nil {
			return nil, err
		}
	}
	for _, n := range opt.VMs {
		if err := r.measureIdle(ctx, n, opt.Entries, opt.IdleTime); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Bounds compares the last measurement of idle daemons with the goals.
func (r *CapacityResult) Bounds() []Bound {
	last := len(r.Entries) - 1
	traffic := r.PeerBytesPerSecondIdle[last] + r.PlatformBytesPerSecond[last]
	cpu := r.ControlCPUPercentIdle[last]
	perDaemon := r.RSSMegabytesPerExtraDaemon[last]
	return []Bound{
		{Key: "control_cpu_percent_idle", Met: cpu <= maxControlCPUPercent, Want: fmt.Sprintf("<= %v", maxControlCPUPercent), Got: fmt.Sprintf("%.2f", cpu)},
		{Key: "rss_mb_per_further_daemon", Met: perDaemon <= maxRSSMegabytes, Want: fmt.Sprintf("<= %d", maxRSSMegabytes), Got: fmt.Sprintf("%.1f", perDaemon)},
		{Key: "peer + platform bytes per second", Met: traffic <= maxControlBytesPerSec, Want: fmt.Sprintf("<= %d", maxControlBytesPerSec), Got: fmt.Sprintf("%.0f", traffic)},
	}
}

// EvenFleet returns a file with n VMs that are spread evenly over pools and zones. Each VM has a
// loopback address of its own with the given port, so that one listener on all addresses serves them all.
func EvenFleet(n, port int) *fleet.File {
	f := &fleet.File{Name: "capacity", SparePool: "spare", Pools: []fleet.Pool{{ID: "spare"}}}
	pools := max(min(n, smallFleetPools), n/vmsPerPool)
	for p := range pools {
		id := fmt.Sprintf("pool-%03d", p)
		f.Pools = append(f.Pools, fleet.Pool{
			ID: ident.PoolID(id), Routes: []string{"/" + id + "/"}, Owed: n / pools, MinServing: n/pools - 2,
			Objective: fleet.Objective{Availability: 0.999, Latency: time.Second},
		})
	}
	for i := range n {
		zone := i % capacityZones
		f.VMs = append(f.VMs, fleet.VM{
			ID: ident.VMID(fmt.Sprintf("vm-%05d", i)), Zone: ident.ZoneID(fmt.Sprintf("zone-%02d", zone)),
			Rack:    ident.RackID(fmt.Sprintf("rack-%02d-%03d", zone, i/capacityZones/4)),
			Address: fmt.Sprintf("127.%d.%d.%d:%d", 1+i>>16&0xff, i>>8&0xff, i&0xff, port), Pool: f.Pools[1+i%pools].ID,
			Processors: 16, Memory: 64 * ident.GiB, Slots: 8, Connections: 64,
		})
	}
	return f
}

// measureFold measures the fleet state of n VMs: its memory, the time to apply a record, and
// the sizes of a publish and a checkpoint.
func (r *CapacityResult) measureFold(n int) error {
	before := heapBytes()
	s, err := applyPublish(fold.Empty(), EvenFleet(n, unusedPort), "all")
	if err != nil {
		return err
	}
	r.FoldBytesPerVM = append(r.FoldBytesPerVM, float64(heapBytes()-before)/float64(n))
	if err := r.measureRecords(s, n); err != nil {
		return err
	}
	if err := r.measurePublish(s); err != nil {
		return err
	}
	data, err := s.Checkpoint()
	if err != nil {
		return errors.Wrap(err, "checkpoint")
	}
	r.CheckpointBytes = append(r.CheckpointBytes, len(data))
	runtime.KeepAlive(s)
	return nil
}

// measureRecords times the records that drain each VM and assign it to its pool again.
func (r *CapacityResult) measureRecords(s *fold.State, n int) error {
	s, outcome := s.Apply(fold.TakePlanner{Header: fold.Header{ID: "term", ConfigRead: s.ConfigOffset}, Term: 1, Holder: "bench"})
	if outcome.Result != fold.Accepted {
		return errors.Newf("take the planner role: %s", outcome.Reason)
	}
	began := time.Now()
	for i := range n {
		vm := s.VM(ident.VMID(fmt.Sprintf("vm-%05d", i)))
		step := fold.VMStep{VM: vm.ID, Epoch: vm.Epoch, Term: 1}
		header := func(kind string) fold.Header {
			return fold.Header{ID: ident.RecordID(kind + string(vm.ID)), ConfigRead: s.ConfigOffset}
		}
		doneStep := step
		doneStep.Term = 0 // a broker writes DrainDone, so it has no planner term
		for _, rec := range []fold.Record{
			fold.Drain{Header: header("drain"), VMStep: step},
			fold.DrainDone{Header: header("done"), VMStep: doneStep},
			fold.Assign{Header: header("assign"), VMStep: step, Pool: vm.Pool},
		} {
			if s, outcome = s.Apply(rec); outcome.Result != fold.Accepted {
				return errors.Newf("apply a record for %s: %s", vm.ID, outcome.Reason)
			}
		}
	}
	r.FoldNSPerRecord = append(r.FoldNSPerRecord, float64(time.Since(began).Nanoseconds())/float64(n*foldRecordsPerVM))
	return nil
}

// measurePublish counts the encoded bytes of a publish that changes one number of one pool.
func (r *CapacityResult) measurePublish(s *fold.State) error {
	f := *s.File
	f.Base = s.Version
	f.Pools = append([]fleet.Pool(nil), f.Pools...)
	f.Pools[1].MinServing--
	chunks, err := fold.PublishChunks(fold.Publish{Header: fold.Header{ID: "one", Writer: "operator", Time: time.Now()}, Base: s.Version, File: &f}, s.File)
	if err != nil {
		return err
	}
	size := 0
	for _, c := range chunks {
		b, err := wire.Encode(c)
		if err != nil {
			return err
		}
		size += len(b)
	}
	r.PublishBytesPerChange = append(r.PublishBytesPerChange, size)
	return nil
}

// applyPublish applies f to s in the chunks that a publish appends to the log.
func applyPublish(s *fold.State, f *fleet.File, id ident.RecordID) (*fold.State, error) {
	f.Base = s.Version
	chunks, err := fold.PublishChunks(fold.Publish{Header: fold.Header{ID: id}, Base: s.Version, File: f}, s.File)
	if err != nil {
		return nil, err
	}
	var outcome fold.Outcome
	for _, c := range chunks {
		s, outcome = s.Apply(c)
	}
	if outcome.Result != fold.Accepted {
		return nil, errors.Newf("publish %s: %s", id, outcome.Reason)
	}
	return s, nil
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // frees objects that were kept alive by finalizers until the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
