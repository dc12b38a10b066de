package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/toucanhatch/toucanhatch/internal/keys"
	"github.com/toucanhatch/toucanhatch/internal/peer"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

// newPeers returns the node that links this entry with the others. Components
// register their message handlers with it before Daemon.Run starts it.
func (d *Daemon) newPeers() *peer.Node {
	n := peer.NewNode(d.Settings.Entry, d.Settings.Zone, d.Clock)
	n.Key = d.Settings.PeerKey
	n.Listener = d.peerListener
	n.Guard = d.guard
	n.Seeds = d.Settings.Seeds
	n.List = (&plat.Lister{Client: &plat.Client{BaseURL: d.Settings.PlatformURL}, Kind: plat.KindEntry}).List
	n.Logger = d.Logger.Named("peer")
	return n
}

// servePeers writes one line for each member of the current view, and the number of refused links.
func (d *Daemon) servePeers(w http.ResponseWriter, _ *http.Request) {
	members := slices.SortedFunc(maps.Values(d.peers.View().Members), func(a, b peer.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range members {
		fmt.Fprintf(w, "%s zone=%s state=%s\n", m.ID, m.Zone, m.State)
	}
	fmt.Fprintf(w, "refused_links=%d\n", d.peers.RefusedLinks())
}

func (d *Daemon) newKeys() *keys.Service {
	k := keys.New(d.peers, d.Clock)
	k.Window = d.Settings.KeyWindow.Duration
	k.MaxBytes = d.Settings.KeyMemory
	k.FirstStart = d.FirstStart
	k.MembersKnown = d.peers.MembersKnown
	return k
}

// serveKey writes which entry is the home of the idempotency key given by the query parameter "key".
func (d *Daemon) serveKey(w http.ResponseWriter, r *http.Request) {
	h := d.keys.KeyStatus(ident.KeyID(r.URL.Query().Get("key")))
	fmt.Fprintf(w, "home=%s proved=%t\n", h.Home, h.Proved)
}
