package boot

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobd"
	"github.com/toucanhatch/toucanhatch/platform"
	"github.com/toucanhatch/toucanhatch/platform/local"
)

const (
	devHost = "desk.example"
	devWait = 20 * time.Second // for the first job
)

// devJob is the job that dev hands in: six tasks of 400 ms in two steps.
var devJob = local.TwoSteps("400", 400, 4, 2)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet on a stand-in of the platform, hand a job in and show that it is completed",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "once", Usage: "end once the job is completed"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := signal.NotifyContext(ctx, os.Interrupt)
			defer cancel()
			return dev(ctx, c.Bool("once"))
		},
	}
}

// dev runs two daemons and the targets of two pools in this process.
func dev(ctx context.Context, once bool) error {
	pools := []string{"cut", "sew"}
	fleet, err := local.NewFleet(ctx, pools, 3)
	if err != nil {
		return err
	}
	defer fleet.Close()
	fleet.Configure(ctx, 1, devHost, pools)
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 2)
	var client string
	for i := range 2 {
		s, err := devSettings(ctx, fleet, i)
		if err != nil {
			return err
		}
		client = s.ClientAddress
		d := &jobd.Daemon{Settings: s, Platform: platform.New(s), Logger: hclog.NewNullLogger(), Clock: clock.SuspendAware()}
		go func() { ended <- d.Run(running) }()
	}
	fmt.Printf("two daemons, pools cut and sew with three targets each\ntry:  curl -H 'Host: %s' -d '%s' http://%s/cut/0123456789abcdef\n", devHost, devJob, client)
	if err := devJobRun(ctx, client); err != nil {
		return err
	}
	if once {
		return nil
	}
	fmt.Println("running until interrupted")
	select {
	case <-ctx.Done():
		return nil
	case err := <-ended:
		return err
	}
}

func devSettings(ctx context.Context, fleet *local.Fleet, i int) (*jobd.Settings, error) {
	s := &jobd.Settings{Zone: "z1", ControlMode: "invoke", Log: jobd.LogSettings{Address: fleet.Addr, Partitions: 12}}
	s.Entry = "entry"
	if i > 0 {
		s.Entry = "entry-2"
	}
	s.StopGrace.Duration = time.Second
	s.Bounds.StopTimeout.Duration = 400 * time.Millisecond
	s.Bounds.Retention.Duration = time.Minute
	for _, addr := range []*string{&s.ClientAddress, &s.ReadinessAddress, &s.PeerAddress} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*addr = l.Addr().String()
		if err := l.Close(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// devJobRun hands a job in and shows its states until it is completed.
func devJobRun(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, devWait)
	defer cancel()
	const path = "/cut/00000000000000a1"
	begin, last := time.Now(), ""
	submitted := false
	for ctx.Err() == nil {
		method, body := http.MethodGet, ""
		if !submitted {
			method, body = http.MethodPost, devJob
		}
		status, answer, err := devCall(ctx, method, "http://"+addr+path, body)
		submitted = submitted || (err == nil && status == http.StatusOK)
		if submitted && method == http.MethodPost {
			fmt.Printf("%6d ms  job handed in\n", time.Since(begin).Milliseconds())
		}
		if answer != "" && answer != last && method == http.MethodGet {
			last = answer
			fmt.Printf("%6d ms  %s\n", time.Since(begin).Milliseconds(), answer)
		}
		if answer == "completed" {
			return nil
		}
		_ = clock.Sleep(ctx, clock.System(), 50*time.Millisecond) // the loop checks the context
	}
	return errors.Newf("the job is not completed after %v", devWait)
}

func devCall(ctx context.Context, method, url, body string) (status int, state string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = devHost
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read
	var answer struct {
		State string `json:"state"`
	}
	if resp.StatusCode == http.StatusOK && method == http.MethodGet {
		err = json.NewDecoder(resp.Body).Decode(&answer)
	}
	return resp.StatusCode, answer.State, err
}
