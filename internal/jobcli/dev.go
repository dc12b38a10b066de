package jobcli

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
	devHost    = "desk.example"   // host name for which the queues are configured
	devKey     = "dev-key-a"      // of a tenant, which the fleet ignores if it has none
	devTimeout = 20 * time.Second // until the job must be completed
)

// devJob is the job that dev submits: six tasks of 400 ms in two steps.
var devJob = local.TwoSteps("400", 400, 4, 2)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet on a local fake of the platform, submit a job and show its states until it is completed",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "once", Usage: "exit when the job is completed"}, &cli.BoolFlag{Name: "tenants", Usage: "serve only clients with the key of a tenant: dev-key-a or dev-key-b"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := signal.NotifyContext(ctx, os.Interrupt)
			defer cancel()
			return runDev(ctx, c.Bool("once"), c.Bool("tenants"))
		},
	}
}

// runDev runs two daemons and the targets of two pools in this process until ctx is done, or
// until the job is completed if once is set. The fleet has tenants if tenants is set.
func runDev(ctx context.Context, once, tenants bool) error {
	pools := []string{"cut", "sew"}
	fleet, err := local.NewFleet(ctx, pools, 3)
	if err != nil {
		return err
	}
	defer fleet.Close()
	keyHint := ""
	if tenants {
		fleet.Tenants = []local.Tenant{{Name: "a", Keys: []string{devKey}, Weight: 1}, {Name: "b", Keys: []string{"dev-key-b"}, Weight: 1}}
		keyHint = " -H '" + platform.KeyHeader + ": " + devKey + "'"
	}
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
	fmt.Printf("two daemons, pools cut and sew with three targets each\ntry:  curl -H 'Host: %s'%s -d '%s' http://%s/cut/0123456789abcdef\n", devHost, keyHint, devJob, client)
	if err := runDevJob(ctx, client); err != nil {
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

// devSettings returns the settings of daemon i, with free loopback ports.
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

// runDevJob submits devJob and prints its states until it is completed.
func runDevJob(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, devTimeout)
	defer cancel()
	const path = "/cut/00000000000000a1"
	begin, last := time.Now(), ""
	submitted := false
	for ctx.Err() == nil {
		method, body := http.MethodGet, ""
		if !submitted {
			method, body = http.MethodPost, devJob
		}
		status, state, err := callDaemon(ctx, method, "http://"+addr+path, body)
		submitted = submitted || (err == nil && status == http.StatusOK)
		if submitted && method == http.MethodPost {
			fmt.Printf("%6d ms  job submitted\n", time.Since(begin).Milliseconds())
		}
		if state != "" && state != last && method == http.MethodGet {
			last = state
			fmt.Printf("%6d ms  %s\n", time.Since(begin).Milliseconds(), state)
		}
		if state == "completed" {
			return nil
		}
		_ = clock.Sleep(ctx, clock.System(), 50*time.Millisecond) // the loop checks the context
	}
	return errors.Newf("job not completed within %v", devTimeout)
}

// callDaemon sends a request to a daemon. For a successful GET it also returns the state of the job.
func callDaemon(ctx context.Context, method, url, body string) (status int, state string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = devHost
	req.Header.Set(platform.KeyHeader, devKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }() // the response has been read
	var job struct {
		State string `json:"state"`
	}
	if resp.StatusCode == http.StatusOK && method == http.MethodGet {
		err = json.NewDecoder(resp.Body).Decode(&job)
	}
	return resp.StatusCode, job.State, err
}
