package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	jobHost      = "pule25.example"
	deadline     = 3 * time.Second
	maxTries     = 4
	retryPause   = 300 * time.Millisecond
	noDaemonWait = 200 * time.Millisecond
)

// client sends requests as the consumers do, through the balancer.
type client struct {
	system  *deployment
	journal *journal
	http    *http.Client
}

func newClient(d *deployment, j *journal) *client {
	return &client{system: d, journal: j, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one request to a daemon in rotation. The status is 0 if there was no response.
func (c *client) call(method, path, body string) (status int, answer []byte) {
	up := c.system.inRotation()
	if len(up) == 0 {
		time.Sleep(noDaemonWait)
		return 0, nil
	}
	x := up[rand.IntN(len(up))]
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(x.ip, strconv.Itoa(clientPort))+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = jobHost
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.journal.line("client", "%s %s at %s: no response after %v: %v", method, path, x.name, time.Since(sent).Round(time.Millisecond), err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		c.journal.line("client", "%s %s at %s: response cut: %v", method, path, x.name, err)
		return 0, nil
	}
	c.journal.line("client", "%s %s at %s: %d %s after %v", method, path, x.name, resp.StatusCode, answer, time.Since(sent).Round(time.Millisecond))
	return resp.StatusCode, answer
}

// submit hands a job in, up to maxTries times, and reports whether it was accepted.
func (c *client) submit(path, body string) bool {
	for range maxTries {
		if status, _ := c.call(http.MethodPost, path, body); status/100 == 2 {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

// state returns the state of a job, "410" if it is said not to exist, and "" if there was no such answer.
func (c *client) state(path string) string {
	status, answer := c.call(http.MethodGet, path, "")
	switch status {
	case http.StatusOK:
		var out struct {
			State string `json:"state"`
		}
		if json.Unmarshal(answer, &out) == nil {
			return out.State
		}
	case http.StatusGone:
		return "410"
	}
	return ""
}

// jobID returns a job id of 16 hexadecimal digits.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// phase is one step of a job, as clients write it.
type phase struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	Memory       int   `json:"mem-mb"`
	Estimate     int   `json:"est-runtime-ms"`
	DependsOn    []int `json:"depends-on,omitempty"`
	MaxPerServer int   `json:"max-per-server,omitempty"`
	LongRunning  bool  `json:"long-running,omitempty"`
	MissBudget   int   `json:"miss-budget,omitempty"`
}

// jobBody returns the body of a submission.
func jobBody(asked work, phases ...phase) string {
	spec, err := json.Marshal(asked)
	if err != nil {
		panic(err) // the type can be encoded
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "phases": phases})
	if err != nil {
		panic(err) // the type can be encoded
	}
	return string(body)
}
