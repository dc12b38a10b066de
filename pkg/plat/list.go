package plat

import (
	"context"
	"net/http"
	"net/url"
	"sync"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Lister reads one part of the live list and transfers it only when it has
// changed. Set its fields before the first call; it may be called from several goroutines.
type Lister struct {
	Client *Client
	Kind   Kind         // only VMs of this kind; empty for all
	Zone   ident.ZoneID // only VMs of this zone; empty for all

	mu   sync.Mutex
	etag string
	last []ListedVM
}

// List returns the present list, which the caller must not change.
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
		_ = resp.Body.Close() // such an answer has no body
		return l.last, nil
	}
	var out []ListedVM
	if err := finish(resp, &out); err != nil {
		return nil, err
	}
	l.last, l.etag = out, resp.Header.Get("ETag")
	return out, nil
}
