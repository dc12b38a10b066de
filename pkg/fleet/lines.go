package fleet

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps paths in a document to lines. Paths are dotted keys; elements
// of arrays, including arrays of tables, have an index: vm[3].slots.
type lineIndex map[string]int

// line returns the line of a path, or of the nearest enclosing path that has one.
func (x lineIndex) line(path string) int {
	for path != "" {
		if line, ok := x[path]; ok {
			return line
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 1
}

// indexLines indexes a document, which must be valid TOML.
func indexLines(data []byte) lineIndex {
	w := lineWalker{index: lineIndex{}, counts: map[string]int{}}
	for i, b := range data {
		if b == '\n' {
			w.lineFeeds = append(w.lineFeeds, i)
		}
	}
	w.parser.Reset(data)
	prefix := ""
	for w.parser.NextExpression() {
		node := w.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = w.enterTable(node, false)
		case unstable.ArrayTable:
			prefix = w.enterTable(node, true)
		case unstable.KeyValue:
			w.keyValue(prefix, node)
		default:
		}
	}
	return w.index
}

// lineWalker walks the expressions of a document and records the lines of their paths.
type lineWalker struct {
	parser    unstable.Parser
	index     lineIndex
	counts    map[string]int // elements seen so far of each array of tables
	lineFeeds []int          // offsets of the line feeds
}

func (w *lineWalker) line(r unstable.Range) int {
	return sort.SearchInts(w.lineFeeds, int(r.Offset)) + 1
}

// enterTable returns the path of a table header and records its line.
func (w *lineWalker) enterTable(node *unstable.Node, array bool) string {
	path, line := "", 1
	for it := node.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		line = w.line(it.Node().Raw)
		last := it.IsLast()
		if last && array {
			w.counts[path]++
		}
		if n := w.counts[path]; n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	w.record(path, line)
	return path
}

func (w *lineWalker) keyValue(prefix string, node *unstable.Node) {
	path, line := prefix, 1
	for it := node.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		line = w.line(it.Node().Raw)
		w.record(path, line)
	}
	w.value(path, node.Value(), line)
}

// value records the lines within arrays and inline tables.
func (w *lineWalker) value(path string, node *unstable.Node, line int) {
	switch node.Kind {
	case unstable.InlineTable:
		for it := node.Children(); it.Next(); {
			w.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := node.Children(); it.Next(); i++ {
			item := it.Node()
			if item.Raw.Length > 0 {
				line = w.line(item.Raw)
			}
			w.record(elementPath(path, i), line)
			w.value(elementPath(path, i), item, line)
		}
	default:
	}
}

func (w *lineWalker) record(path string, line int) {
	if _, ok := w.index[path]; !ok {
		w.index[path] = line
	}
}

func joinPath(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
