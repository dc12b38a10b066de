package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/config"
)

// Exit codes of toucand.
const (
	exitOK       = 0
	exitFailed   = 1 // the daemon could not start or stopped on an error
	exitSettings = 2 // the settings or the command line are invalid
)

// Version is the version of toucand and toucanctl, which --version prints.
const Version = "0.1.0"

// Main runs toucand and returns its exit code.
func Main(args []string) int {
	code := exitOK
	cmd := &cli.Command{
		Name:      "toucand",
		Usage:     "serve callers and manage the fleet from one entry VM",
		UsageText: "toucand --settings FILE\ntoucand check-settings FILE",
		Version:   Version,
		Description: "Settings are described in docs/settings.md. Logs go to standard error, one JSON object per line.\n\n" +
			"Signals: SIGTERM and SIGINT stop the process gracefully: it reports not ready at once, accepts callers for\n" +
			"drain_delay more, and exits after the last response. A second signal ends it at once.\n\n" +
			"Exit codes: 0 stopped gracefully; 1 failed; 2 invalid settings or arguments.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "TOML `FILE` with the settings of this process"},
			&cli.BoolFlag{
				Name:  "first-start",
				Usage: "state that no entry of this fleet ran within the key window, so that idempotency keys are accepted at once",
			},
		},
		EnableShellCompletion: true,
		Action: func(ctx context.Context, c *cli.Command) error {
			var err error
			code, err = serveCommand(ctx, c.String("settings"), c.Bool("first-start"))
			return err
		},
		Commands: []*cli.Command{{
			Name:      "check-settings",
			Usage:     "check a settings file and exit",
			ArgsUsage: "FILE",
			Action: func(_ context.Context, c *cli.Command) error {
				if _, err := config.Load(c.Args().First()); err != nil {
					code = exitSettings
					return err
				}
				fmt.Println("settings are valid")
				return nil
			},
		}},
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "toucand:", err)
		if code == exitOK {
			code = exitSettings
		}
	}
	return code
}

// serveCommand runs the daemon with the settings at path until SIGINT or SIGTERM, and returns the exit code.
func serveCommand(ctx context.Context, path string, firstStart bool) (int, error) {
	settings, err := config.Load(path)
	if err != nil {
		return exitSettings, err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "toucand", Level: hclog.LevelFromString(settings.LogLevel), JSONFormat: true, Output: os.Stderr,
	})
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	context.AfterFunc(ctx, cancel) // restores the default handling, so that a second signal ends the process
	d := &Daemon{Settings: settings, Logger: logger.With("entry", settings.Entry), FirstStart: firstStart}
	if err := d.Run(ctx); err != nil {
		return exitFailed, err
	}
	return exitOK, nil
}
