package integ

import (
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// raw is a program that sends malformed or incomplete requests: raw [-n 1] [-sent FILE] ADDRESS REQUEST-FILE.
// On each of n connections it sends the content of REQUEST-FILE, with its line ends converted to CRLF, and then nothing
// more. It creates the file of -sent once all connections have sent the request, and prints each response on a line.
func raw(args []string) int {
	fs := flag.NewFlagSet("raw", flag.ContinueOnError)
	count := fs.Int("n", 1, "connections")
	sentFile := fs.String("sent", "", "file to write once every connection has sent its request")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	data, err := os.ReadFile(fs.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, "raw:", err)
		return 1
	}
	text := strings.ReplaceAll(string(data), "\n", "\r\n")
	var sent, all sync.WaitGroup
	var mu sync.Mutex
	for range *count {
		sent.Add(1)
		all.Go(func() {
			response := rawOnce(fs.Arg(0), text, sent.Done)
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(response)
		})
	}
	sent.Wait()
	if *sentFile != "" {
		_ = os.WriteFile(*sentFile, nil, 0o600)
	}
	all.Wait()
	return 0
}

// rawOnce sends text on a new connection, calls sent, and returns the response on one line, or the error.
func rawOnce(addr, text string, sent func()) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		sent()
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	_, err = io.WriteString(c, text)
	sent()
	if err != nil {
		return err.Error()
	}
	response, err := io.ReadAll(c)
	if err != nil {
		return err.Error()
	}
	return strings.Join(strings.Fields(string(response)), " ")
}
