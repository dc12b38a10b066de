package fleet

import (
	"maps"
	"math"
	"slices"
	"time"
)

const maxInt = math.MaxInt64

// presence says whether a key must be present.
type presence bool

const (
	required presence = true
	optional presence = false
)

// decoder turns a TOML document into a File and collects a diagnostic for every error.
type decoder struct {
	diags diagnostics
}

// table reads the keys of one TOML table. The caller calls rejectUnknownKeys last, which reports the
// keys that were not read.
type table struct {
	dec    *decoder
	path   string
	values map[string]any
}

// take removes and returns a value; it reports a required key that is missing.
func (t table) take(key string, need presence) (any, bool) {
	v, ok := t.values[key]
	delete(t.values, key)
	if !ok && need == required {
		t.dec.diags.add(t.path, "%s is missing", joinPath(t.path, key))
	}
	return v, ok
}

// errorf adds a diagnostic for the value of a key.
func (t table) errorf(key, format string, args ...any) {
	path := joinPath(t.path, key)
	t.dec.diags.add(path, path+": "+format, args...)
}

// rejectUnknownKeys reports every key that has not been read.
func (t table) rejectUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		t.dec.diags.add(joinPath(t.path, key), "unknown key %q", joinPath(t.path, key))
	}
}

func (t table) text(key string, need presence) string {
	v, ok := t.take(key, need)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	if !ok {
		t.errorf(key, "%v is not a string", v)
		return ""
	}
	if s == "" && need == required {
		t.errorf(key, "must not be empty")
	}
	return s
}

func (t table) number(key string, low, high int64, need presence) int64 {
	v, ok := t.take(key, need)
	if !ok {
		return 0
	}
	n, ok := v.(int64)
	if !ok {
		t.errorf(key, "%v is not an integer", v)
		return 0
	}
	if n < low || n > high {
		t.errorf(key, "%d is not between %d and %d", n, low, high)
		return 0
	}
	return n
}

// fraction reads an optional number between 0 and 1.
func (t table) fraction(key string) float64 {
	v, ok := t.take(key, optional)
	if !ok {
		return 0
	}
	x, ok := v.(float64)
	if n, isInt := v.(int64); isInt {
		x, ok = float64(n), true
	}
	if !ok || math.IsNaN(x) || x < 0 || x > 1 {
		t.errorf(key, "%v is not a number between 0 and 1", v)
		return 0
	}
	return x
}

func (t table) duration(key string, need presence) time.Duration {
	s := t.text(key, need)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		t.errorf(key, "%q is not a duration above zero, such as \"20m\"", s)
		return 0
	}
	return d
}

// time reads a required date and time with its offset from UTC.
func (t table) time(key string) time.Time {
	v, ok := t.take(key, required)
	if !ok {
		return time.Time{}
	}
	at, ok := v.(time.Time)
	if !ok {
		t.errorf(key, "%v is not a date and time with an offset, such as 2027-01-31T18:00:00Z", v)
		return time.Time{}
	}
	return at.UTC()
}

// list reads an optional array of strings; it returns nil for an empty array, as for none.
func list[T ~string](t table, key string) []T {
	v, ok := t.take(key, optional)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.errorf(key, "%v is not an array of strings", v)
		return nil
	}
	var out []T
	for i, item := range items {
		s, ok := item.(string)
		if !ok || s == "" {
			t.errorf(elementPath(key, i), "%v is not a string with at least one character", item)
			continue
		}
		out = append(out, T(s))
	}
	return out
}

// table reads an optional table.
func (t table) table(key string) (table, bool) {
	v, ok := t.take(key, optional)
	if !ok {
		return table{}, false
	}
	values, ok := v.(map[string]any)
	if !ok {
		t.errorf(key, "%v is not a table", v)
		return table{}, false
	}
	return table{dec: t.dec, path: joinPath(t.path, key), values: values}, true
}

// tables reads an array of tables.
func (t table) tables(key string) []table {
	v, ok := t.take(key, optional)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.errorf(key, "write [[%s]] for each element", key)
		return nil
	}
	var out []table
	for i, item := range items {
		values, ok := item.(map[string]any)
		if !ok {
			t.errorf(elementPath(key, i), "%v is not a table", item)
			continue
		}
		out = append(out, table{dec: t.dec, path: joinPath(t.path, elementPath(key, i)), values: values})
	}
	return out
}
