package broker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
)

const maxReport = 4096 // bytes read of a target's status report

// HTTPProber is the Prober for real targets.
type HTTPProber struct{ Client *http.Client }

// Running implements Prober. It returns 0 for a refused connection, which proves that the target's process has ended and
// its requests with it.
func (p *HTTPProber) Running(ctx context.Context, address string) (int, error) {
	resp, err := p.get(ctx, address, "/status")
	if errors.Is(err, syscall.ECONNREFUSED) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var report struct {
		InFlight *int `json:"in_flight"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&report); err != nil {
		return 0, fmt.Errorf("decode status report of %s: %w", address, err)
	}
	if report.InFlight == nil {
		return 0, fmt.Errorf("status report of %s has no field in_flight", address)
	}
	return *report.InFlight, nil
}

// Healthy implements Prober.
func (p *HTTPProber) Healthy(ctx context.Context, address string) error {
	resp, err := p.get(ctx, address, "/healthz")
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (p *HTTPProber) get(ctx context.Context, address, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s%s: status %s", address, path, resp.Status)
	}
	return resp, nil
}
