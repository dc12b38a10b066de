package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// Request headers of callers.
const (
	priorityHeader = "Toucanhatch-Priority"
	timeoutHeader  = "Toucanhatch-Timeout"
	jobHeader      = "Toucanhatch-Job"
	keyHeader      = "Idempotency-Key"
)

const (
	urgentPriority = "urgent"
	normalPriority = "normal"
	maxKeyLength   = 255
	maxJobLength   = 255
)

// readHeader reads the caller's headers and sets the deadline.
func (x *exchange) readHeader() *refusal {
	switch p := headerValue(x.r.Header, priorityHeader); p {
	case "", normalPriority:
	case urgentPriority:
		x.urgent = true
	default:
		return badHeader(priorityHeader, p, "neither urgent nor normal")
	}
	limit := longestRequest
	if s := headerValue(x.r.Header, timeoutHeader); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 {
			return badHeader(timeoutHeader, s, "no positive duration such as 5s")
		}
		limit = min(d, longestRequest)
	}
	x.deadline = x.began.Add(limit)
	if x.job = headerValue(x.r.Header, jobHeader); x.job == "" {
		x.job = x.r.URL.Path
	}
	if len(x.job) > maxJobLength {
		x.job = x.job[:maxJobLength]
	}
	switch x.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		x.idempotent = true
	case http.MethodConnect:
		return &refusal{status: http.StatusMethodNotAllowed, text: "CONNECT is not served"}
	}
	if k := headerValue(x.r.Header, keyHeader); len(k) > maxKeyLength {
		return badHeader(keyHeader, k[:maxKeyLength], fmt.Sprintf("longer than %d bytes", maxKeyLength))
	}
	return nil
}

// idempotencyKey returns the idempotency key, which applies only to POST and PATCH requests.
func (x *exchange) idempotencyKey() ident.KeyID {
	if x.r.Method != http.MethodPost && x.r.Method != http.MethodPatch {
		return ""
	}
	return ident.KeyID(headerValue(x.r.Header, keyHeader))
}

func badHeader(name, value, problem string) *refusal {
	return &refusal{status: http.StatusBadRequest, text: fmt.Sprintf("header %s: %q is %s", name, value, problem)}
}

// headerValue returns the first value of a header whose name is in canonical form. It avoids the
// cost of http.Header.Get.
func headerValue(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// removeHopHeaders removes the hop-by-hop headers.
func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for k := range h {
		switch k {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
			"Te", "Trailer", "Transfer-Encoding", "Upgrade":
			delete(h, k)
		}
	}
}

// Shared header values, which must not be modified.
var (
	noUserAgent   = []string{""}
	completeValue = []string{string(Complete)}
)

// forwardHeader returns the header to send to the target. The caller's address is appended to X-Forwarded-For. Host
// is forwarded unchanged, so X-Forwarded-Host and X-Forwarded-Proto stay as the load balancer set them. The returned
// header is the request's own, modified in place; r.Header is not read afterwards.
func forwardHeader(r *http.Request) http.Header {
	out := r.Header
	removeHopHeaders(out)
	delete(out, "Expect") // the body was already read
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = noUserAgent // keeps net/http from adding its own
	}
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		if prior := out["X-Forwarded-For"]; len(prior) > 0 {
			ip = strings.Join(prior, ", ") + ", " + ip
		}
		out["X-Forwarded-For"] = []string{ip}
	}
	return out
}
