package fleet

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Delta is the difference between two files as typed operations.
type Delta struct {
	Header  *Header                       `cbor:"header,omitempty"` // nil when equal
	Pools   ListDelta[ident.PoolID, Pool] `cbor:"pools"`
	VMs     ListDelta[ident.VMID, VM]     `cbor:"vms"`
	Waves   ListDelta[ident.WaveID, Wave] `cbor:"waves"`
	Returns *[]Return                     `cbor:"returns,omitempty"` // the whole new list; nil when equal
}

// Head holds the values at the top of a file.
type Header struct {
	Name      string        `cbor:"name"`
	Base      ident.Version `cbor:"base_version"`
	SparePool ident.PoolID  `cbor:"spare_pool"`
}

// ListDelta is the difference between two lists of elements with ids.
type ListDelta[K ~string, V any] struct {
	Drops   []K         `cbor:"drops,omitempty"`
	Changes []V         `cbor:"changes,omitempty"` // the new value of elements that keep their place
	Adds    []Add[K, V] `cbor:"adds,omitempty"`
}

// Add inserts an element behind another, or in front when After is empty.
type Add[K ~string, V any] struct {
	After K `cbor:"after"`
	Value V `cbor:"value"`
}

// Empty reports whether the two files are equal.
func (d *Delta) Empty() bool {
	return d.Header == nil && d.Returns == nil && d.Pools.empty() && d.VMs.empty() && d.Waves.empty()
}

func (l *ListDelta[K, V]) empty() bool { return len(l.Drops)+len(l.Changes)+len(l.Adds) == 0 }

// Diff returns the operations that turn base into f. Both files must be free of duplicate ids.
func Diff(base, f *File) *Delta {
	d := &Delta{
		Pools: diffList(base.Pools, f.Pools, poolID),
		VMs:   diffList(base.VMs, f.VMs, vmID),
		Waves: diffList(base.Waves, f.Waves, waveID),
	}
	if h := head(f); h != head(base) {
		d.Header = &h
	}
	if !reflect.DeepEqual(base.Returns, f.Returns) {
		returns := f.Returns
		d.Returns = &returns
	}
	return d
}

// ErrBaseMismatch means that a difference was made from another base file.
var ErrBaseMismatch = errors.New("the difference does not fit the file that it is applied to")

// ApplyDiff returns the file that d makes of base, which is not changed. Its error is ErrBaseMismatch.
func ApplyDiff(base *File, d *Delta) (*File, error) {
	f := *base
	if d.Header != nil {
		f.Name, f.Base, f.SparePool = d.Header.Name, d.Header.Base, d.Header.SparePool
	}
	var poolsFit, vmsFit, wavesFit bool
	f.Pools, poolsFit = applyList(base.Pools, &d.Pools, poolID)
	f.VMs, vmsFit = applyList(base.VMs, &d.VMs, vmID)
	f.Waves, wavesFit = applyList(base.Waves, &d.Waves, waveID)
	if d.Returns != nil {
		f.Returns = *d.Returns
	}
	if !poolsFit || !vmsFit || !wavesFit {
		return nil, ErrBaseMismatch
	}
	return &f, nil
}

func head(f *File) Header { return Header{Name: f.Name, Base: f.Base, SparePool: f.SparePool} }

func poolID(p *Pool) ident.PoolID { return p.ID }
func vmID(v *VM) ident.VMID       { return v.ID }
func waveID(w *Wave) ident.WaveID { return w.ID }

func diffList[K ~string, V any](a, b []V, id func(*V) K) ListDelta[K, V] {
	var d ListDelta[K, V]
	old := make(map[K]int, len(a))
	for i := range a {
		old[id(&a[i])] = i
	}
	keep := inOrder(old, b, id)
	for i := range a {
		if !keep[id(&a[i])] {
			d.Drops = append(d.Drops, id(&a[i]))
		}
	}
	var after K
	for i := range b {
		k := id(&b[i])
		switch {
		case !keep[k]:
			d.Adds = append(d.Adds, Add[K, V]{After: after, Value: b[i]})
		case !reflect.DeepEqual(a[old[k]], b[i]):
			d.Changes = append(d.Changes, b[i])
		}
		after = k
	}
	return d
}

// inOrder returns the largest set of common ids that have the same order in
// both lists, a longest increasing subsequence of their old positions.
func inOrder[K ~string, V any](old map[K]int, b []V, id func(*V) K) map[K]bool {
	var ends []int // ends[n]: index in b of the best end of a run of length n+1
	prev := make([]int, len(b))
	for i := range b {
		pos, ok := old[id(&b[i])]
		if !ok {
			continue
		}
		n, _ := slices.BinarySearchFunc(ends, pos, func(e, p int) int { return old[id(&b[e])] - p })
		prev[i] = -1
		if n > 0 {
			prev[i] = ends[n-1]
		}
		if n == len(ends) {
			ends = append(ends, i)
		} else {
			ends[n] = i
		}
	}
	keep := make(map[K]bool, len(ends))
	if len(ends) > 0 {
		for i := ends[len(ends)-1]; i >= 0; i = prev[i] {
			keep[id(&b[i])] = true
		}
	}
	return keep
}

// applyList reports false when an operation refers to an element that base does not have.
func applyList[K ~string, V any](base []V, d *ListDelta[K, V], id func(*V) K) ([]V, bool) {
	if d.empty() {
		return base, true
	}
	a := applier[K, V]{id: id, drops: map[K]bool{}, changes: map[K]*V{}, adds: map[K][]*V{}}
	for _, k := range d.Drops {
		a.drops[k] = true
	}
	for i := range d.Changes {
		a.changes[id(&d.Changes[i])] = &d.Changes[i]
	}
	for i := range d.Adds {
		a.adds[d.Adds[i].After] = append(a.adds[d.Adds[i].After], &d.Adds[i].Value)
	}
	want := len(base) + len(d.Adds) - len(d.Drops)
	if want > 0 {
		a.out = make([]V, 0, want)
	}
	a.follow("")
	for i := range base {
		a.keep(&base[i])
	}
	return a.out, len(a.out) == want && len(a.adds) == 0 && len(a.changes) == 0
}

type applier[K ~string, V any] struct {
	id      func(*V) K
	drops   map[K]bool
	changes map[K]*V
	adds    map[K][]*V
	out     []V
}

// keep copies one element of the base, or its new value, and what was added behind it.
func (a *applier[K, V]) keep(v *V) {
	k := a.id(v)
	if a.drops[k] {
		return
	}
	if changed, ok := a.changes[k]; ok {
		v = changed
		delete(a.changes, k)
	}
	a.out = append(a.out, *v)
	if len(a.adds) > 0 {
		a.follow(k)
	}
}

// follow copies the elements added behind k, and those behind them in turn.
// Each list of added elements is taken once, so that a malformed delta cannot loop.
func (a *applier[K, V]) follow(k K) {
	for queue := []K{k}; len(queue) > 0; queue = queue[1:] {
		next := a.adds[queue[0]]
		delete(a.adds, queue[0])
		for _, v := range next {
			a.out = append(a.out, *v)
			queue = append(queue, a.id(v))
		}
	}
}

// Lines describes the operations, one line each, for operators.
func (d *Delta) Lines() []string {
	var out []string
	if d.Header != nil {
		out = append(out, fmt.Sprintf("~ file name=%q base_version=%d spare_pool=%q", d.Header.Name, d.Header.Base, d.Header.SparePool))
	}
	out = append(out, listLines("pool", &d.Pools, poolID)...)
	out = append(out, listLines("vm", &d.VMs, vmID)...)
	out = append(out, listLines("wave", &d.Waves, waveID)...)
	if d.Returns != nil {
		out = append(out, fmt.Sprintf("~ returns (%d)", len(*d.Returns)))
	}
	return out
}

func listLines[K ~string, V any](what string, d *ListDelta[K, V], id func(*V) K) []string {
	var out []string
	added := map[K]bool{}
	for i := range d.Adds {
		added[id(&d.Adds[i].Value)] = true
	}
	dropped := map[K]bool{}
	for _, k := range d.Drops {
		dropped[k] = true
		if !added[k] {
			out = append(out, fmt.Sprintf("- %s %s", what, k))
		}
	}
	for i := range d.Changes {
		out = append(out, fmt.Sprintf("~ %s %s", what, id(&d.Changes[i])))
	}
	for i := range d.Adds {
		k := id(&d.Adds[i].Value)
		if dropped[k] {
			out = append(out, fmt.Sprintf("~ %s %s (moved within the file)", what, k))
		} else {
			out = append(out, fmt.Sprintf("+ %s %s", what, k))
		}
	}
	return out
}
