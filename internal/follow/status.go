package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

type peerStatus struct {
	status
	at time.Time
}

// EntryStatus tells how far one entry has followed the log.
type EntryStatus struct {
	Entry        ident.EntryID `json:"entry"`
	Zone         ident.ZoneID  `json:"zone"`
	Version      ident.Version `json:"version"` // in force on that entry
	ConfigOffset ident.Offset  `json:"config_offset"`
	FleetOffset  ident.Offset  `json:"fleet_offset"`
	Platform     bool          `json:"platform"` // it reads the log itself
	Ready        bool          `json:"ready"`
	Reason       string        `json:"reason,omitempty"` // why it is not ready
	Link         string        `json:"link"`             // self, or the state of the link: up, silent, gone
	AgeMillis    int64         `json:"age_ms"`           // since this entry heard the above
}

// Report is a follower's view of itself and of its peers.
type Report struct {
	Self    EntryStatus   `json:"self"`
	Peers   []EntryStatus `json:"peers"`
	Source  string        `json:"source"`  // where the newest record came from
	Missing int64         `json:"missing"` // records that the platform or a peer is known to have and this entry has not folded
	// LagMillis is the age of the newest record when it was folded, by the platform's clock.
	LagMillis int64 `json:"lag_ms"`
}

func (f *Follower) status() status {
	reason := f.NotReadyReason()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.snapshot.Load()
	platform := true
	for _, st := range f.streams {
		platform = platform && st.platform == reachable
	}
	return status{
		Zone: f.Zone, Version: s.Version, ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset,
		ConfigNext: f.streams[plat.ConfigStream].next, FleetNext: f.streams[plat.FleetStream].next,
		Platform: platform, Ready: reason == "", Reason: reason,
	}
}

func (f *Follower) noteStatus(from ident.EntryID, st status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[from] = peerStatus{status: st, at: f.Clock.Now()}
}

// Report returns how far this entry and its peers have followed the log.
func (f *Follower) Report() Report {
	own := f.status()
	out := Report{Self: own.form("", "self", 0)}
	now := f.Clock.Now()
	f.mu.Lock()
	out.Source, out.LagMillis = f.source, min(f.recordAge, maxAge).Milliseconds()
	for _, s := range f.streams {
		known := max(s.end, s.next)
		for _, p := range f.peers {
			known = max(known, p.next(s.name))
		}
		out.Missing += int64(known - f.offset(s.name) - 1)
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
		e := p.form(id, string(m.State), now.Sub(p.at))
		if !ok {
			e.Zone, e.Reason, e.AgeMillis = m.Zone, "nothing heard yet", 0
		}
		out.Peers = append(out.Peers, e)
	}
	slices.SortFunc(out.Peers, func(a, b EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

func (s status) form(id ident.EntryID, link string, age time.Duration) EntryStatus {
	return EntryStatus{
		Entry: id, Zone: s.Zone, Version: s.Version, ConfigOffset: s.ConfigOffset, FleetOffset: s.FleetOffset,
		Platform: s.Platform, Ready: s.Ready, Reason: s.Reason, Link: link, AgeMillis: age.Milliseconds(),
	}
}
