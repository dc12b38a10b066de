package fleet

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Delta is the difference between two files, as operations on their lists.
type Delta struct {
	Header  *Header                       `cbor:"header,omitempty"` // nil when equal
	Pools   ListDelta[ident.PoolID, Pool] `cbor:"pools"`
	VMs     ListDelta[ident.VMID, VM]     `cbor:"vms"`
	Waves   ListDelta[ident.WaveID, Wave] `cbor:"waves"`
	Returns *[]Return                     `cbor:"returns,omitempty"` // the whole new list; nil when equal
}

// Header holds the top-level values of a file.
type Header struct {
	Name      string        `cbor:"name"`
	Base      ident.Version `cbor:"base_version"`
	SparePool ident.PoolID  `cbor:"spare_pool"`
}

// ListDelta is the difference between two lists of elements with ids.
type ListDelta[K ~string, V any] struct {
	Drops   []K         `cbor:"drops,omitempty"`
	Changes []V         `cbor:"changes,omitempty"` // the new values of elements that keep their position
	Adds    []Add[K, V] `cbor:"adds,omitempty"`
}

// Add inserts an element after the element with the id After, or first when After is empty.
type Add[K ~string, V any] struct {
	After K `cbor:"after"`
	Value V `cbor:"value"`
}

// Empty reports whether the delta has no operations, that is, the files are equal.
func (d *Delta) Empty() bool {
	return d.Header == nil && d.Returns == nil && d.Pools.empty() && d.VMs.empty() && d.Waves.empty()
}

func (l *ListDelta[K, V]) empty() bool { return len(l.Drops)+len(l.Changes)+len(l.Adds) == 0 }

// Diff returns the operations that turn base into f. The ids within each list of a file must be unique.
func Diff(base, f *File) *Delta {
	d := &Delta{
		Pools: diffList(base.Pools, f.Pools, poolID),
		VMs:   diffList(base.VMs, f.VMs, vmID),
		Waves: diffList(base.Waves, f.Waves, waveID),
	}
	if h := headerOf(f); h != headerOf(base) {
		d.Header = &h
	}
	if !reflect.DeepEqual(base.Returns, f.Returns) {
		returns := f.Returns
		d.Returns = &returns
	}
	return d
}

// ErrBaseMismatch means that a delta was made from another base file.
var ErrBaseMismatch = errors.New("the difference does not fit the file that it is applied to")

// ApplyDiff returns the file that results from applying d to base, which it does not change.
// Its only error is ErrBaseMismatch.
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

func headerOf(f *File) Header { return Header{Name: f.Name, Base: f.Base, SparePool: f.SparePool} }

func poolID(p *Pool) ident.PoolID { return p.ID }
func vmID(v *VM) ident.VMID       { return v.ID }
func waveID(w *Wave) ident.WaveID { return w.ID }

func diffList[K ~string, V any](a, b []V, id func(*V) K) ListDelta[K, V] {
	var d ListDelta[K, V]
	old := make(map[K]int, len(a))
	for i := range a {
		old[id(&a[i])] = i
	}
	keep := longestCommonOrder(old, b, id)
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

// longestCommonOrder returns a largest set of ids that have the same order in
// both lists: a longest increasing subsequence of their old positions.
func longestCommonOrder[K ~string, V any](old map[K]int, b []V, id func(*V) K) map[K]bool {
	var ends []int // ends[n]: index in b of the element with the smallest old position that ends a subsequence of length n+1
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

// applyList applies a delta to a list. It reports false when an operation refers to an element
// that base does not have.
func applyList[K ~string, V any](base []V, d *ListDelta[K, V], id func(*V) K) ([]V, bool) {
	if d.empty() {
		return base, true
	}
	lp := listPatcher[K, V]{id: id, drops: map[K]bool{}, changes: map[K]*V{}, adds: map[K][]*V{}}
	for _, k := range d.Drops {
		lp.drops[k] = true
	}
	for i := range d.Changes {
		lp.changes[id(&d.Changes[i])] = &d.Changes[i]
	}
	for i := range d.Adds {
		lp.adds[d.Adds[i].After] = append(lp.adds[d.Adds[i].After], &d.Adds[i].Value)
	}
	want := len(base) + len(d.Adds) - len(d.Drops)
	if want > 0 {
		lp.out = make([]V, 0, want)
	}
	lp.insertAfter("")
	for i := range base {
		lp.copyElement(&base[i])
	}
	return lp.out, len(lp.out) == want && len(lp.adds) == 0 && len(lp.changes) == 0
}

// listPatcher applies a delta to a list.
type listPatcher[K ~string, V any] struct {
	id      func(*V) K
	drops   map[K]bool
	changes map[K]*V
	adds    map[K][]*V
	out     []V
}

// copyElement copies one element of the base, or its new value, and the elements added after it.
func (lp *listPatcher[K, V]) copyElement(v *V) {
	k := lp.id(v)
	if lp.drops[k] {
		return
	}
	if changed, ok := lp.changes[k]; ok {
		v = changed
		delete(lp.changes, k)
	}
	lp.out = append(lp.out, *v)
	if len(lp.adds) > 0 {
		lp.insertAfter(k)
	}
}

// insertAfter copies the elements added after k, and those added after them in turn.
// Each list of added elements is copied once, so that a malformed delta cannot cause an
// endless loop.
func (lp *listPatcher[K, V]) insertAfter(k K) {
	for queue := []K{k}; len(queue) > 0; queue = queue[1:] {
		next := lp.adds[queue[0]]
		delete(lp.adds, queue[0])
		for _, v := range next {
			lp.out = append(lp.out, *v)
			queue = append(queue, lp.id(v))
		}
	}
}

// Lines describes the operations for operators, one line each.
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

func listLines[K ~string, V any](kind string, d *ListDelta[K, V], id func(*V) K) []string {
	var out []string
	added := map[K]bool{}
	for i := range d.Adds {
		added[id(&d.Adds[i].Value)] = true
	}
	dropped := map[K]bool{}
	for _, k := range d.Drops {
		dropped[k] = true
		if !added[k] {
			out = append(out, fmt.Sprintf("- %s %s", kind, k))
		}
	}
	for i := range d.Changes {
		out = append(out, fmt.Sprintf("~ %s %s", kind, id(&d.Changes[i])))
	}
	for i := range d.Adds {
		k := id(&d.Adds[i].Value)
		if dropped[k] {
			out = append(out, fmt.Sprintf("~ %s %s (moved within the file)", kind, k))
		} else {
			out = append(out, fmt.Sprintf("+ %s %s", kind, k))
		}
	}
	return out
}
