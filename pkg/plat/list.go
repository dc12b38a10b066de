package plat

import (
	"context"
	"net/http"
	"net/url"
	"sync"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Lister reads the live list (see [Client.List]) or a part of it, and transfers
// the list only when it has changed. Set the fields before the first call. The
// methods may be called concurrently.
type Lister struct {
	Client *Client
	Kind   Kind         // only VMs of this kind; empty for all
	Zone   ident.ZoneID // only VMs of this zone; empty for all

	mu     sync.Mutex
	etag   string
	cached []ListedVM
}

// List returns the current list, which the caller must not change.
func (l *Lister) List(ctx context.Context) ([]ListedVM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	header := http.Header{}
	if l.etag != "" {
		header.Set("If-None-Match", l.etag)
	}
	query := url.Values{}
	if l.Kind != "" {
		query.Set("kind", string(l.Kind))
	}
	if l.Zone != "" {
		query.Set("zone", string(l.Zone))
	}
	resp, err := l.Client.send(ctx, http.MethodGet, "/v1/vms?"+query.Encode(), nil, header)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotModified {
		_ = resp.Body.Close() // a response with this status has no body
		return l.cached, nil
	}
	var out []ListedVM
	if err := readResponse(resp, &out); err != nil {
		return nil, err
	}
	l.cached, l.etag = out, resp.Header.Get("ETag")
	return out, nil
}
