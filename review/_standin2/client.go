package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// clientTimeout is how long clients wait for a response.
const clientTimeout = 3 * time.Second

var httpClient = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}

// phase is one step of a job.
type phase map[string]any

// job returns the body of a submission.
func job(spec string, phases ...phase) map[string]any {
	return map[string]any{"spec": spec, "phases": phases}
}

// call sends a client's request and returns the status, 0 if there was no answer, and the decoded body.
func (e *env) call(d *daemon, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // built by the case
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+d.client+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		e.note("%s %s %s: no answer (%v)", d.name, method, path, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // the response has been read
	out := map[string]any{}
	_ = json.NewDecoder(resp.Body).Decode(&out) // an empty body has no fields
	e.note("%s %s %s: %d %v", d.name, method, path, resp.StatusCode, out)
	return resp.StatusCode, out
}

// submit hands a job in until it is accepted, as clients do after a refusal or no answer.
func (e *env) submit(ctx context.Context, d *daemon, path string, body any) bool {
	for ctx.Err() == nil {
		if status, _ := e.call(d, http.MethodPost, path, body); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state that a job is shown in; empty if there is no answer.
func (e *env) state(d *daemon, path string) (int, string) {
	status, body := e.call(d, http.MethodGet, path, nil)
	s, _ := body["state"].(string)
	return status, s
}
