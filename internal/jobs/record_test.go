package jobs

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/toucanhatch/toucanhatch/internal/work"
)

// The field names of the queue configuration in a record are part of the stored
// format: records outlive the process that wrote them.
func TestRecordKeepsQueueFieldNames(t *testing.T) {
	r := &Record{
		ID: "0000000000000001", Pool: "pool", Accepted: time.Unix(1, 0).UTC(),
		Queue: work.Queue{
			ID: "queue", Pool: "pool", Priority: 1, MaxAttempts: 2, SlackFactor: 1.5, Objective: time.Second,
			Advice: &work.AdviceConfig{DecisionTime: 2, TimePerTarget: 3, TicketValidity: 4},
		},
		Spec: work.Spec{Payload: "p"},
	}
	b, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	want := "a601703030303030303030303030303030303102a762494465717565756564506f6f6c64706f6f6c685072696f72697479016b4d6178417474656d707473" +
		"026b536c61636b466163746f72fb3ff8000000000000694f626a6563746976651a3b9aca0066416476696365a3684465636973696f6e0268496e74657276616c" +
		"036856616c6964697479040364706f6f6c04a301617002f604f6050108f6"
	if got := hex.EncodeToString(b); got != want {
		t.Errorf("record is encoded as %s, want %s", got, want)
	}
}
