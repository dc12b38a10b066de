package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

type peerStatus struct {
	statusMessage
	receivedAt time.Time
}

// EntryStatus reports how far one entry VM has read the log.
type EntryStatus struct {
	Entry        ident.EntryID `json:"entry"`
	Zone         ident.ZoneID  `json:"zone"`
	Version      ident.Version `json:"version"` // of the file in force on that entry
	ConfigOffset ident.Offset  `json:"config_offset"`
	FleetOffset  ident.Offset  `json:"fleet_offset"`
	Platform     bool          `json:"platform"` // the entry itself reads the log from the platform
	Ready        bool          `json:"ready"`
	Reason       string        `json:"reason,omitempty"` // why the entry is not ready
	Link         string        `json:"link"`             // self, or the state of the link: up, silent, gone
	AgeMillis    int64         `json:"age_ms"`           // time since the reporting entry received this status
}

// Report is a follower's view of itself and of its peers.
type Report struct {
	Self    EntryStatus   `json:"self"`
	Peers   []EntryStatus `json:"peers"`
	Source  string        `json:"source"`  // where the newest record came from
	Missing int64         `json:"missing"` // records that the platform or a peer has, as far as known, and this entry has not applied
	// LagMillis is the age that the newest record had when it was applied, by
	// the time that the platform gave to the record.
	LagMillis int64 `json:"lag_ms"`
}

func (f *Follower) status() statusMessage {
	reason := f.NotReadyReason()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.snapshot.Load()
	platform := true
	for _, st := range f.streams {
		platform = platform && st.platform == reachable
	}
	return statusMessage{
		Zone: f.Zone, Version: s.Version, ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset,
		ConfigNext: f.streams[plat.ConfigStream].next, FleetNext: f.streams[plat.FleetStream].next,
		Platform: platform, Ready: reason == "", Reason: reason,
	}
}

func (f *Follower) handleStatus(from ident.EntryID, st statusMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[from] = peerStatus{statusMessage: st, receivedAt: f.Clock.Now()}
}

// Report returns how far this entry and its peers have read the log.
func (f *Follower) Report() Report {
	own := f.status()
	out := Report{Self: own.entryStatus("", "self", 0)}
	now := f.Clock.Now()
	f.mu.Lock()
	out.Source, out.LagMillis = f.source, min(f.lag, maxLag).Milliseconds()
	for _, s := range f.streams {
		known := max(s.platformNext, s.next)
		for _, p := range f.peers {
			known = max(known, p.next(s.name))
		}
		out.Missing += int64(known - f.appliedOffset(s.name) - 1)
	}
	peers := make(map[ident.EntryID]peerStatus, len(f.peers))
	for id, p := range f.peers {
		peers[id] = p
	}
	f.mu.Unlock()
	if f.Links == nil {
		return out
	}
	out.Self.Entry = f.Links.Self()
	for id, m := range f.Links.View().Members {
		if id == f.Links.Self() {
			continue
		}
		p, ok := peers[id]
		e := p.entryStatus(id, string(m.State), now.Sub(p.receivedAt))
		if !ok {
			e.Zone, e.Reason, e.AgeMillis = m.Zone, "nothing heard yet", 0
		}
		out.Peers = append(out.Peers, e)
	}
	slices.SortFunc(out.Peers, func(a, b EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

func (s statusMessage) entryStatus(id ident.EntryID, link string, age time.Duration) EntryStatus {
	return EntryStatus{
		Entry: id, Zone: s.Zone, Version: s.Version, ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset,
		Platform: s.Platform, Ready: s.Ready, Reason: s.Reason, Link: link, AgeMillis: age.Milliseconds(),
	}
}
