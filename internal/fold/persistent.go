package fold

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanOut is the number of children at each of the two levels of a
// persistentMap, which makes 256 buckets. At 8,000 elements, a change copies
// about 1.5 KB.
const fanOut = 16

// persistentMap is an immutable map: set and remove return a new map that
// shares all but one bucket with the old one. The zero value is an empty map.
type persistentMap[K ~string, V any] struct {
	root *[fanOut]*[fanOut][]mapEntry[K, V]
	size int
}

type mapEntry[K ~string, V any] struct {
	key   K
	value V
}

func bucketOf[K ~string](key K) (uint64, uint64) {
	h := xxhash.Sum64String(string(key))
	return h % fanOut, h / fanOut % fanOut
}

func (t persistentMap[K, V]) bucket(i, j uint64) []mapEntry[K, V] {
	if t.root == nil || t.root[i] == nil {
		return nil
	}
	return t.root[i][j]
}

func find[K ~string, V any](b []mapEntry[K, V], key K) (int, bool) {
	return slices.BinarySearchFunc(b, key, func(x mapEntry[K, V], k K) int { return cmp.Compare(x.key, k) })
}

func (t persistentMap[K, V]) get(key K) (V, bool) {
	i, j := bucketOf(key)
	b := t.bucket(i, j)
	if n, ok := find(b, key); ok {
		return b[n].value, true
	}
	var zero V
	return zero, false
}

func (t persistentMap[K, V]) set(key K, value V) persistentMap[K, V] {
	i, j := bucketOf(key)
	old := t.bucket(i, j)
	n, found := find(old, key)
	size, rest := t.size, n
	if found {
		rest++
	} else {
		size++
	}
	b := make([]mapEntry[K, V], 0, len(old)+1)
	b = append(b, old[:n]...)
	b = append(b, mapEntry[K, V]{key, value})
	b = append(b, old[rest:]...)
	return t.withBucket(i, j, b, size)
}

func (t persistentMap[K, V]) remove(key K) persistentMap[K, V] {
	i, j := bucketOf(key)
	old := t.bucket(i, j)
	n, found := find(old, key)
	if !found {
		return t
	}
	b := slices.Concat(old[:n], old[n+1:])
	return t.withBucket(i, j, b, t.size-1)
}

func (t persistentMap[K, V]) withBucket(i, j uint64, b []mapEntry[K, V], size int) persistentMap[K, V] {
	root, node := &[fanOut]*[fanOut][]mapEntry[K, V]{}, &[fanOut][]mapEntry[K, V]{}
	if t.root != nil {
		*root = *t.root
	}
	if root[i] != nil {
		*node = *root[i]
	}
	node[j] = b
	root[i] = node
	return persistentMap[K, V]{root: root, size: size}
}

// all iterates over the elements in an order that depends only on the keys.
func (t persistentMap[K, V]) all(yield func(K, V) bool) {
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

// sorted returns the elements sorted by key.
func (t persistentMap[K, V]) sorted() []mapEntry[K, V] {
	out := make([]mapEntry[K, V], 0, t.size)
	for k, v := range t.all {
		out = append(out, mapEntry[K, V]{k, v})
	}
	slices.SortFunc(out, func(a, b mapEntry[K, V]) int { return cmp.Compare(a.key, b.key) })
	return out
}

// recentMap holds the elements that were set last: at least limit of them, if
// as many were set, and at most twice limit. They are kept in two generations;
// when the newer one is full, the older one is dropped. Which elements are
// dropped depends only on the elements and their order.
type recentMap[K ~string, V any] struct {
	limit        int
	newer, older persistentMap[K, V]
}

func (r recentMap[K, V]) get(key K) (V, bool) {
	if v, ok := r.newer.get(key); ok {
		return v, true
	}
	return r.older.get(key)
}

func (r recentMap[K, V]) set(key K, value V) recentMap[K, V] {
	if r.newer.size >= r.limit {
		r.older, r.newer = r.newer, persistentMap[K, V]{}
	}
	r.newer = r.newer.set(key, value)
	return r
}
