package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
)

// Bound is a stated goal for a result and whether the result meets it.
type Bound struct {
	Key  string // JSON key of the result, or a short expression over keys
	Met  bool
	Want string // such as "<= 8"
	Got  string // the measured value
}

// Print writes a result struct as one JSON object, or as a table that ends with the bounds.
func Print[T any](w io.Writer, result T, bounds []Bound, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		return enc.Encode(result)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	v := reflect.ValueOf(result)
	for i := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fmt.Fprintf(tw, "%s\t%v\n", key, v.Field(i).Interface())
	}
	for _, b := range bounds {
		status := "met"
		if !b.Met {
			status = "MISSED"
		}
		fmt.Fprintf(tw, "bound %s %s\t%s\tgot %s\n", b.Key, b.Want, status, b.Got)
	}
	return tw.Flush()
}

// Missed returns the bounds that were not met.
func Missed(bounds []Bound) []Bound {
	var missed []Bound
	for _, b := range bounds {
		if !b.Met {
			missed = append(missed, b)
		}
	}
	return missed
}
