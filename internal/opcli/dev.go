package opcli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/config"
	"github.com/toucanhatch/toucanhatch/internal/daemon"
	"github.com/toucanhatch/toucanhatch/internal/fakes"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

const devHeaderTimeout = 5 * time.Second

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small fleet with fake targets and a fake platform in this process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "targets", Value: 4, Usage: "`NUMBER` of fake targets"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer cancel()
			return runDev(ctx, c.Int("targets"))
		},
	}
}

// runDev runs a fake platform, fake targets and one daemon until ctx is done.
func runDev(ctx context.Context, targets int) error {
	platform, err := listenHTTP(fakes.NewPlatform().Handler())
	if err != nil {
		return err
	}
	file, err := devFile(targets)
	if err != nil {
		return err
	}
	f, err := fleet.Parse("dev.toml", []byte(file))
	if err != nil {
		return err
	}
	if _, err := Publish(ctx, &plat.Client{BaseURL: "http://" + platform}, operatorName(), f); err != nil {
		return err
	}
	d := &daemon.Daemon{
		Settings: &config.Settings{
			Entry: "dev-1", Zone: "dev-a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
			PlatformURL: "http://" + platform,
		},
		Logger:     hclog.New(&hclog.LoggerOptions{Name: "toucand", Level: hclog.Warn}),
		FirstStart: true,
	}
	if err := d.Listen(); err != nil {
		return err
	}
	fmt.Printf("caller address  http://%s\nadmin address   http://%s\nplatform        http://%s\n", d.CallerAddr(), d.AdminAddr(), platform)
	fmt.Printf("try             curl -i http://%s/cutting/order-1\nstop            Ctrl-C\n", d.CallerAddr())
	return d.Run(ctx)
}

// devFile starts the fake targets and returns a fleet file that names them.
func devFile(targets int) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"dev\"\nbase_version = 0\nspare_pool = \"members-office\"\n")
	fmt.Fprintf(&b, "\n[[pool]]\nid = \"members-office\"\n")
	fmt.Fprintf(&b, "\n[[pool]]\nid = \"cutting\"\nroutes = [\"/cutting/\"]\nowed_vms = %d\n", targets)
	for i := range targets {
		name := fmt.Sprintf("dev-vm-%d", i+1)
		address, err := listenHTTP(fakes.NewTarget(name).Handler())
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n[[vm]]\nid = %q\nzone = \"dev-a\"\nrack = \"dev-a-r1\"\naddress = %q\npool = \"cutting\"\n", name, address)
		fmt.Fprintf(&b, "processors = 16\nmemory_gib = 64\nslots = %d\nconnections = %d\n", devSlots, devConnections)
	}
	return b.String(), nil
}

const (
	devSlots       ident.Slots       = 8
	devConnections ident.Connections = 64
)

// listenHTTP serves h on a free loopback port until the process ends, and returns the address.
func listenHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: devHeaderTimeout}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}
