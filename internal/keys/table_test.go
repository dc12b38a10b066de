package keys

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Guards against a process that is handed the responses of all members that have left, each of which had kept its limit. The keys
// must stay known: a repeated request must not run again.
func TestHandedOverResponsesKeepLimit(t *testing.T) {
	const count, limit, body = 100, 100 * ident.KiB, 10 << 10
	now := time.Unix(1000, 0)
	table := newTable(limits{window: time.Hour, maxBytes: limit, maxBody: 64 * ident.KiB}, process{ID: "a"}, now)
	for i := range count {
		r := record{Key: ident.KeyID(fmt.Sprint("key-", i)), Revision: 1, Phase: done, changed: now, Response: &Response{Status: 200, Body: []byte(strings.Repeat("x", body))}}
		if !table.store(r) {
			t.Fatalf("record %d: got a rejection, want it kept", i)
		}
	}
	if got, want := table.bytes, int64(limit)+count*(recordOverhead+100); got > want {
		t.Errorf("memory of records: got %d bytes, want at most %d", got, want)
	}
	if got := len(table.records); got != count {
		t.Errorf("known keys: got %d, want %d", got, count)
	}
	for key, r := range table.records {
		if r.Response.Status != 200 || len(r.Response.Body) != body && !r.Response.BodyDropped {
			t.Errorf("response of %s: got status %d, %d bytes, dropped %v; want the whole response or a dropped body", key, r.Response.Status, len(r.Response.Body), r.Response.BodyDropped)
		}
	}
}
