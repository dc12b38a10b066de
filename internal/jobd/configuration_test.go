package jobd

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/internal/link"
	"github.com/toucanhatch/toucanhatch/internal/plog"
	"github.com/toucanhatch/toucanhatch/internal/work"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const testConfigKey = "config"

// newTestConfiguration returns a configuration on a log whose values are version numbers, with a bound of two seconds.
func newTestConfiguration(log plog.Log) *configuration {
	return newTestConfigurationWithin(log, 2*time.Second)
}

func newTestConfigurationWithin(log plog.Log, bound time.Duration) *configuration {
	c := &configuration{
		Platform: &Platform{
			Log: log, OperatorPartition: plog.TopicPartition{Topic: "op"}, ConfigKey: testConfigKey, IsWaveKey: func(string) bool { return false },
			DecodeConfig: func(value []byte) (*work.Config, error) {
				if string(value) == "panic" {
					panic("a malformed configuration")
				}
				version, err := strconv.ParseInt(string(value), 10, 64)
				return &work.Config{Version: version, Routes: []work.Route{{Host: "h", Prefix: "/queue/"}}}, err
			},
		},
		ApplyWithin: bound, SomePeers: func(int) []string { return nil }, PeerClient: &link.Client{}, Clock: clock.System(), Logger: hclog.NewNullLogger(),
	}
	c.init()
	return c
}

// deny decides a request for a queue that doesn't exist, anew while the decision is superseded. It returns nil if the
// request is denied.
func deny(ctx context.Context, s *Service, path string) (found bool, err error) {
	for {
		d, err := s.Decide("h", path, work.KeyDigest{})
		if err != nil || d.Found() {
			return err == nil, err
		}
		if err = d.Deny(ctx, http.StatusNotFound); !errors.Is(err, ErrSuperseded) {
			return false, err
		}
	}
}

func configRecord(version string) plog.Record {
	return plog.Record{Key: testConfigKey, Value: []byte(version)}
}

// publish appends a version to the log, as the operators do.
func publish(t *testing.T, log plog.Log, c *configuration, version string) {
	t.Helper()
	if err := log.Append(t.Context(), c.Platform.OperatorPartition, plog.Writer{}, []plog.Record{configRecord(version)}); err != nil {
		t.Fatal(err)
	}
}

// refusingLog returns a log that refuses all calls.
func refusingLog() *fakes.Log {
	return &fakes.Log{BeforeCall: func(string, plog.TopicPartition) (bool, error) { return false, plog.ErrRefused }}
}

// unansweredPollsLog leaves reads unanswered that wait for records.
type unansweredPollsLog struct{ fakes.Log }

func (l *unansweredPollsLog) Read(ctx context.Context, from plog.TopicPartition, offset ident.Offset, wait time.Duration) (plog.Batch, error) {
	if wait > 0 {
		<-ctx.Done()
		return plog.Batch{}, plog.ErrNoResponse
	}
	return l.Log.Read(ctx, from, offset, wait)
}

// Guards against a queue that is denied by a configuration of which the process can know that it is old.
func TestUnconfirmedConfigurationDeniesNoQueue(t *testing.T) {
	log := &fakes.Log{}
	refusing := refusingLog()
	pollsUnanswered := &unansweredPollsLog{}
	current, behind, outdated := newTestConfiguration(log), newTestConfiguration(pollsUnanswered), newTestConfiguration(refusing)
	publish(t, log, current, "1")
	publish(t, pollsUnanswered, behind, "0")
	for _, c := range []*configuration{current, behind} {
		go c.Run(t.Context())
		c.watcher.WaitSynced(t.Context())
	}
	publish(t, pollsUnanswered, behind, "1")
	outdated.apply(0, configRecord("1"))

	for _, test := range []struct {
		name   string
		config *configuration
		path   string
		denied bool
		notRun bool
	}{
		{"current, a queue", current, "/queue/1", false, false},
		{"current, no queue", current, "/other/1", true, false},
		{"behind, no queue", behind, "/other/1", true, false},
		{"outdated, a queue", outdated, "/queue/1", false, false},
		{"outdated, no queue", outdated, "/other/1", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Service{Config: test.config, Clock: clock.System(), Logger: hclog.NewNullLogger()}
			found, err := deny(t.Context(), s, test.path)
			var notRun *NotRunError
			if got := !found && err == nil; got != test.denied {
				t.Errorf("error %v: denied %v, want %v", err, got, test.denied)
			}
			if got := errors.As(err, &notRun); got != test.notRun {
				t.Fatalf("error %v: not run %v, want %v", err, got, test.notRun)
			}
			if test.notRun && notRun.RetryAfter <= 0 {
				t.Errorf("error %v: come back in %v, want a time", err, notRun.RetryAfter)
			}
		})
	}
}

// Guards against a process that the log turns away and that keeps its configuration although its peers have a newer one.
func TestConfigurationIsReadFromPeers(t *testing.T) {
	refusing := refusingLog()
	newer, older := newTestConfiguration(refusing), newTestConfiguration(refusing)
	newer.apply(0, configRecord("3"))
	newer.confirm(time.Now())
	older.apply(0, configRecord("1"))
	peers := []string{startPeer(t, newer.reply(configQuery{Version: 2})), startPeer(t, older.reply(configQuery{Version: 2}))}

	c := newTestConfiguration(refusing)
	c.SomePeers = func(int) []string { return peers }
	c.apply(0, configRecord("2"))
	go c.Run(t.Context())
	for end := time.Now().Add(c.ApplyWithin); c.version() != 3; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d after %v, want 3, which a peer has", c.version(), c.ApplyWithin)
		}
	}
	for end := time.Now().Add(c.ApplyWithin); c.Age() > c.ApplyWithin; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the configuration of the peer was confirmed %v ago, want at most %v", c.Age(), c.ApplyWithin)
		}
	}
	if got, want := c.reply(configQuery{Version: 3}).Encoded, 0; len(got) != want {
		t.Errorf("reply to a peer with the same version has %d bytes, want %d", len(got), want)
	}
}

// Guards against a version that is in force late because the few peers that are asked don't reach the log either.
func TestConfigurationIsReadFromTheFewPeersThatHaveIt(t *testing.T) {
	refusing := refusingLog()
	newer, older := newTestConfiguration(refusing), newTestConfiguration(refusing)
	newer.apply(0, configRecord("3"))
	newer.confirm(time.Now())
	older.apply(0, configRecord("2"))
	var peers []string
	for range 9 {
		peers = append(peers, startPeer(t, older.reply(configQuery{Version: 2})))
	}
	peers = append(peers, startPeer(t, newer.reply(configQuery{Version: 2})))

	c := newTestConfigurationWithin(refusing, 8*time.Second) // long beside the pauses of a busy machine
	c.SomePeers = func(n int) []string { return peers[:min(n, len(peers))] }
	c.apply(0, configRecord("2"))
	c.confirm(time.Now())
	confirmed := time.Now()
	go c.Run(t.Context())
	for c.version() != 3 {
		if got := time.Since(confirmed); got > c.ApplyWithin {
			t.Fatalf("version %d after %v, want 3, which one of %d peers has", c.version(), got, len(peers))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a queue that is denied by an older version because the decoding of the newest one panics.
func TestPanickingDecoderDeniesNoQueue(t *testing.T) {
	log := &fakes.Log{}
	c := newTestConfiguration(log)
	put := func(version string) { publish(t, log, c, version) }
	put("1")
	go c.Run(t.Context())
	c.watcher.WaitSynced(t.Context())
	s := &Service{Config: c, Clock: clock.System(), Logger: hclog.NewNullLogger()}
	for _, test := range []struct {
		version string
		denied  bool
	}{{"panic", false}, {"2", true}} {
		put(test.version)
		time.Sleep(c.ApplyWithin / 10)
		_, err := deny(t.Context(), s, "/other/1")
		if got := err == nil; got != test.denied {
			t.Errorf("after version %q: error %v: denied %v, want %v", test.version, err, got, test.denied)
		}
	}
}

// Guards against a queue that is denied because a peer's version, older than the one of the log that can't be decoded, was
// taken for the newest.
func TestOlderVersionOfPeerHidesNoUndecodableOne(t *testing.T) {
	log := &fakes.Log{}
	c := newTestConfiguration(log)
	put := func(version string) { publish(t, log, c, version) }
	put("1")
	go c.Run(t.Context())
	c.watcher.WaitSynced(t.Context())
	put("undecodable")
	time.Sleep(c.ApplyWithin / 20)
	c.applyConfig([]byte("2"), sourcePeer)
	time.Sleep(c.ApplyWithin / 2) // the watcher has read to the end of the log again
	s := &Service{Config: c, Clock: clock.System(), Logger: hclog.NewNullLogger()}
	if _, err := deny(t.Context(), s, "/other/1"); err == nil {
		t.Errorf("error %v: denied by version %d, want not known", err, c.version())
	}
}
