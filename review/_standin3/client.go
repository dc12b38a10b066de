package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client is a client that is connected to one daemon, as the balancer has chosen.
type client struct {
	f    *fleet
	e    *entry
	http *http.Client
}

func (f *fleet) client(e *entry) *client {
	return &client{f, e, &http.Client{Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}}
}

// call sends a request and waits for the answer until the client leaves. The status is 0 if there was no answer.
func (c *client) call(method, path, body string, leaves time.Duration) (status int, answered string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaves)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.e.client+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	c.f.rec.note("client: %s %s to %s", method, path, c.e.name)
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.f.rec.note("client: %s %s to %s: no answer, the client leaves after %d ms", method, path, c.e.name, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer resp.Body.Close()
	var out struct {
		State string `json:"state"`
		Error string `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&out) // without a body it stays empty
	c.f.rec.note("client: %s %s to %s: %d %s%s, after %d ms", method, path, c.e.name, resp.StatusCode, out.State, out.Error, time.Since(sent).Milliseconds())
	return resp.StatusCode, out.State
}

func (c *client) post(id, body string, leaves time.Duration) int {
	status, _ := c.call(http.MethodPost, "/notes/"+id, body, leaves)
	return status
}

func (c *client) get(id string, leaves time.Duration) (int, string) {
	return c.call(http.MethodGet, "/notes/"+id, "", leaves)
}

func (c *client) cancel(id string, leaves time.Duration) int {
	status, _ := c.call(http.MethodDelete, "/notes/"+id, "", leaves)
	return status
}

// jobID returns the id of the n-th job of a case.
func jobID(n int) string {
	s := strconv.FormatInt(int64(0xa000+n), 16)
	return strings.Repeat("0", 16-len(s)) + s
}
