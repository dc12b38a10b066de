package integ

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// headerFlag is a flag that adds a header of the form "Name: value".
type headerFlag http.Header

func (h headerFlag) String() string { return "" }

func (h headerFlag) Set(s string) error {
	k, v, ok := strings.Cut(s, ": ")
	if !ok {
		return fmt.Errorf("header %q is not of the form \"Name: value\"", s)
	}
	http.Header(h).Add(k, v)
	return nil
}

type requestOptions struct {
	method, body, want string
	header             http.Header
	timeout            time.Duration
}

// call is a program that sends a request as a caller: call [-X METHOD] [-d BODY] [-H HEADER] [-want TEXT] [-timeout D] URL.
// It prints the status, the outcome header and the body of the response; with -want it repeats the request until they
// contain TEXT.
func call(args []string) int {
	opt := requestOptions{header: http.Header{}}
	fs := flag.NewFlagSet("call", flag.ContinueOnError)
	fs.StringVar(&opt.method, "X", http.MethodGet, "method")
	fs.StringVar(&opt.body, "d", "", "body")
	fs.StringVar(&opt.want, "want", "", "repeat until the output contains this text")
	fs.DurationVar(&opt.timeout, "timeout", waitLimit, "time limit")
	fs.Var(headerFlag(opt.header), "H", "header")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), opt.timeout)
	defer cancel()
	for {
		out, err := callOnce(ctx, fs.Arg(0), opt)
		if err == nil && strings.Contains(out, opt.want) {
			fmt.Print(out)
			return 0
		}
		if opt.want == "" || ctx.Err() != nil {
			fmt.Print(out)
			fmt.Fprintln(os.Stderr, "call:", err)
			return 1
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// callOnce sends the request once and returns the output for its response.
func callOnce(ctx context.Context, url string, opt requestOptions) (string, error) {
	req, err := http.NewRequestWithContext(ctx, opt.method, url, strings.NewReader(opt.body))
	if err != nil {
		return "", err
	}
	req.Header = opt.header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	retryAfter := ""
	if s := resp.Header.Get("Retry-After"); s != "" {
		retryAfter = " retry-after=" + s
	}
	out := fmt.Sprintf("%s outcome=%s%s\n%s", resp.Status, resp.Header.Get("Toucanhatch-Outcome"), retryAfter, body)
	return out, err
}
