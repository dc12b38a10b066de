package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Stream names a stream of the log service.
type Stream string

// The streams that toucanhatch uses.
const (
	ConfigStream Stream = "config" // written by operators
	FleetStream  Stream = "fleet"  // written by the daemons
)

// Entry is one record as stored in a stream.
type Entry struct {
	Offset ident.Offset `json:"offset"`
	Time   time.Time    `json:"time"`
	Data   []byte       `json:"data"`
}

// Page is the answer to one read.
type Page struct {
	First   ident.Offset `json:"first"` // oldest offset that the stream still has
	Next    ident.Offset `json:"next"`  // offset that the next append gets
	Records []Entry      `json:"records"`
}

// Kind tells entry VMs from targets.
type Kind string

// The kinds of VM on the live list.
const (
	KindEntry  Kind = "entry"
	KindTarget Kind = "target"
)

// Liveness is the platform's view of a VM.
type Liveness string

// The states of a VM on the live list.
const (
	Live    Liveness = "live"
	Leaving Liveness = "leaving"
)

// ListedVM is one line of the live list, which lags behind reality.
type ListedVM struct {
	ID      string       `json:"id"`
	Zone    ident.ZoneID `json:"zone"`
	Address string       `json:"address"` // peer address of an entry, HTTP address of a target
	Kind    Kind         `json:"kind"`
	State   Liveness     `json:"state"`
}

// ErrUnknownOutcome means that a request may or may not have taken effect.
var ErrUnknownOutcome = errors.New("the platform did not answer; the request may have taken effect")

// TrimmedError reports a read below the oldest offset that is kept.
type TrimmedError struct{ First ident.Offset }

// Error describes the gap.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// StatusError reports an unexpected HTTP status of the platform.
type StatusError struct {
	Status int
	Body   string
}

// Error describes the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform answered with status %d: %s", e.Status, e.Body)
}

// Client talks to the platform. Set its fields before the first call.
type Client struct {
	BaseURL string       // such as http://10.0.0.5:8000
	HTTP    *http.Client // http.DefaultClient when nil
}

const maxPlatformAnswer = int64(64 * ident.MiB)

// send sends one request and leaves the answer's body to the caller.
func (c *Client) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("platform request: %w", err)
	}
	maps.Copy(req.Header, header)
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return resp, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	resp, err := c.send(ctx, method, path, body, nil)
	if err != nil {
		return err
	}
	return finish(resp, out)
}

// finish reads and closes the answer's body.
func finish(resp *http.Response, out any) error {
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxPlatformAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if resp.StatusCode == http.StatusGone {
		var gone Page
		if err := json.Unmarshal(b, &gone); err != nil {
			return fmt.Errorf("platform answer: %w", err)
		}
		return &TrimmedError{First: gone.First}
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(b)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("platform answer: %w", err)
	}
	return nil
}

// Append adds a record to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, s Stream, data []byte) (ident.Offset, error) {
	var out struct {
		Offset ident.Offset `json:"offset"`
	}
	err := c.do(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(string(s))+"/records", data, &out)
	return out.Offset, err
}

// Read returns up to limit records from offset from; with none there it waits
// up to wait for one. It returns *TrimmedError when from is no longer kept.
func (c *Client) Read(ctx context.Context, s Stream, from ident.Offset, limit int, wait time.Duration) (Page, error) {
	q := url.Values{
		"from":    {strconv.FormatInt(int64(from), 10)},
		"max":     {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	err := c.do(ctx, http.MethodGet, "/v1/streams/"+url.PathEscape(string(s))+"/records?"+q.Encode(), nil, &page)
	return page, err
}

// List returns the platform's list of live and leaving VMs.
func (c *Client) List(ctx context.Context) ([]ListedVM, error) {
	var out []ListedVM
	err := c.do(ctx, http.MethodGet, "/v1/vms", nil, &out)
	return out, err
}

// Reboot asks the platform to reboot a VM; it is safe to repeat for the same epoch.
func (c *Client) Reboot(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error {
	return c.act(ctx, vm, "reboot", epoch)
}

// Return hands a VM back to the platform; it is safe to repeat.
func (c *Client) Return(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error {
	return c.act(ctx, vm, "return", epoch)
}

func (c *Client) act(ctx context.Context, vm ident.VMID, verb string, epoch ident.Epoch) error {
	path := fmt.Sprintf("/v1/vms/%s/%s?epoch=%d", url.PathEscape(string(vm)), verb, epoch)
	return c.do(ctx, http.MethodPost, path, nil, nil)
}
