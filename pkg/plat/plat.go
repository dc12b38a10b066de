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

// The streams of the log.
const (
	ConfigStream Stream = "config" // written by operators
	FleetStream  Stream = "fleet"  // written by the daemons
)

// Entry is one log entry: a record with the offset and time that the platform
// assigned to it.
type Entry struct {
	Offset ident.Offset `json:"offset"`
	Time   time.Time    `json:"time"`
	Data   []byte       `json:"data"`
}

// Page is the response to one read.
type Page struct {
	First   ident.Offset `json:"first"` // oldest offset that the stream still has
	Next    ident.Offset `json:"next"`  // offset that the next append gets
	Records []Entry      `json:"records"`
}

// Kind distinguishes entry VMs from targets.
type Kind string

// The kinds of VM on the live list.
const (
	KindEntry  Kind = "entry"
	KindTarget Kind = "target"
)

// Liveness is the state of a VM in the platform's view.
type Liveness string

// The states of a VM on the live list.
const (
	Live    Liveness = "live"
	Leaving Liveness = "leaving"
)

// ListedVM is one VM on the live list. The list may be out of date.
type ListedVM struct {
	ID      string       `json:"id"`
	Zone    ident.ZoneID `json:"zone"`
	Address string       `json:"address"` // peer address of an entry, HTTP address of a target
	Kind    Kind         `json:"kind"`
	State   Liveness     `json:"state"`
}

// ErrUnknownOutcome means that a request may or may not have taken effect.
var ErrUnknownOutcome = errors.New("the platform did not respond; the request may have taken effect")

// TrimmedError reports a read at an offset whose record the platform no longer
// keeps. First is the oldest offset that it still has.
type TrimmedError struct{ First ident.Offset }

// Error implements the error interface.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// StatusError reports an unexpected HTTP status of the platform.
type StatusError struct {
	Status int
	Body   string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform responded with status %d: %s", e.Status, e.Body)
}

// Client sends requests to the platform. Set its fields before the first call.
type Client struct {
	BaseURL string       // for example http://10.0.0.5:8000
	HTTP    *http.Client // http.DefaultClient if nil
}

const maxResponseBytes = int64(64 * ident.MiB)

// send sends one request. The caller must close the body of the response.
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
	return readResponse(resp, out)
}

// readResponse decodes the body of a response into out, unless out is nil, and
// closes the body. It returns an error for a status other than 2xx.
func readResponse(resp *http.Response, out any) error {
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if resp.StatusCode == http.StatusGone {
		var gone Page
		if err := json.Unmarshal(b, &gone); err != nil {
			return fmt.Errorf("platform response: %w", err)
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
		return fmt.Errorf("platform response: %w", err)
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

// Read returns up to limit records, starting at offset from. If there are none
// yet, the platform waits up to wait for one. If the platform no longer keeps
// the record at from, the error is a *TrimmedError.
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

// Reboot requests a reboot of a VM. It may be repeated safely for the same epoch.
func (c *Client) Reboot(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error {
	return c.vmAction(ctx, vm, "reboot", epoch)
}

// Return returns a VM to the platform. It may be repeated safely.
func (c *Client) Return(ctx context.Context, vm ident.VMID, epoch ident.Epoch) error {
	return c.vmAction(ctx, vm, "return", epoch)
}

func (c *Client) vmAction(ctx context.Context, vm ident.VMID, action string, epoch ident.Epoch) error {
	path := fmt.Sprintf("/v1/vms/%s/%s?epoch=%d", url.PathEscape(string(vm)), action, epoch)
	return c.do(ctx, http.MethodPost, path, nil, nil)
}
