package fold

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanOut is the width of both levels of a table. With 256 buckets in all, a
// change at 8,000 elements copies about one and a half KB.
const fanOut = 16

// table is an immutable map: set and remove return a new table that shares
// all but one bucket with the old one. The zero table is empty.
type table[K ~string, V any] struct {
	root *[fanOut]*[fanOut][]item[K, V]
	size int
}

type item[K ~string, V any] struct {
	key   K
	value V
}

func slotOf[K ~string](key K) (uint64, uint64) {
	h := xxhash.Sum64String(string(key))
	return h % fanOut, h / fanOut % fanOut
}

func (t table[K, V]) bucket(i, j uint64) []item[K, V] {
	if t.root == nil || t.root[i] == nil {
		return nil
	}
	return t.root[i][j]
}

func find[K ~string, V any](b []item[K, V], key K) (int, bool) {
	return slices.BinarySearchFunc(b, key, func(x item[K, V], k K) int { return cmp.Compare(x.key, k) })
}

func (t table[K, V]) get(key K) (V, bool) {
	i, j := slotOf(key)
	b := t.bucket(i, j)
	if n, ok := find(b, key); ok {
		return b[n].value, true
	}
	var zero V
	return zero, false
}

func (t table[K, V]) set(key K, value V) table[K, V] {
	i, j := slotOf(key)
	old := t.bucket(i, j)
	n, found := find(old, key)
	size, rest := t.size, n
	if found {
		rest++
	} else {
		size++
	}
	b := make([]item[K, V], 0, len(old)+1)
	b = append(b, old[:n]...)
	b = append(b, item[K, V]{key, value})
	b = append(b, old[rest:]...)
	return t.with(i, j, b, size)
}

func (t table[K, V]) remove(key K) table[K, V] {
	i, j := slotOf(key)
	old := t.bucket(i, j)
	n, found := find(old, key)
	if !found {
		return t
	}
	b := slices.Concat(old[:n], old[n+1:])
	return t.with(i, j, b, t.size-1)
}

func (t table[K, V]) with(i, j uint64, b []item[K, V], size int) table[K, V] {
	root, node := &[fanOut]*[fanOut][]item[K, V]{}, &[fanOut][]item[K, V]{}
	if t.root != nil {
		*root = *t.root
	}
	if root[i] != nil {
		*node = *root[i]
	}
	node[j] = b
	root[i] = node
	return table[K, V]{root: root, size: size}
}

// all yields the elements in an order that depends only on the keys.
func (t table[K, V]) all(yield func(K, V) bool) {
	if t.root == nil {
		return
	}
	for _, node := range t.root {
		if node == nil {
			continue
		}
		for _, b := range node {
			for _, x := range b {
				if !yield(x.key, x.value) {
					return
				}
			}
		}
	}
}

// sorted returns the elements in the order of their keys.
func (t table[K, V]) sorted() []item[K, V] {
	out := make([]item[K, V], 0, t.size)
	for k, v := range t.all {
		out = append(out, item[K, V]{k, v})
	}
	slices.SortFunc(out, func(a, b item[K, V]) int { return cmp.Compare(a.key, b.key) })
	return out
}

// recent remembers the newest elements: at least limit and at most twice as
// many. What it forgets depends only on the elements and their order.
type recent[K ~string, V any] struct {
	limit      int
	young, old table[K, V]
}

func (r recent[K, V]) get(key K) (V, bool) {
	if v, ok := r.young.get(key); ok {
		return v, true
	}
	return r.old.get(key)
}

func (r recent[K, V]) set(key K, value V) recent[K, V] {
	if r.young.size >= r.limit {
		r.old, r.young = r.young, table[K, V]{}
	}
	r.young = r.young.set(key, value)
	return r
}
