// Command toucanjobd is the jobs daemon that runs on every entry VM of the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/jobd"
	"github.com/toucanhatch/toucanhatch/internal/logio"
	"github.com/toucanhatch/toucanhatch/platform"
)

// Exit codes.
const (
	exitFailed   = 1 // the daemon could not start or stopped on an error
	exitSettings = 2 // the settings or the command line are wrong
)

func main() {
	code := 0
	cmd := &cli.Command{
		Name:  "toucanjobd",
		Usage: "take jobs in, run them on the pools' targets and keep the pools' capacity",
		Description: "Settings are described in docs/settings.md. Logs go to standard output, one JSON object a line.\n\n" +
			"SIGTERM hands the partitions over and stops gracefully. SIGHUP reads the settings again.\n\n" +
			"Exit codes: 0 stopped gracefully; 1 failed; 2 wrong settings or arguments.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "TOML `FILE` with the settings of this process",
				Sources: cli.EnvVars(jobd.SettingsVariable),
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			settings, err := jobd.LoadSettings(path)
			if err != nil {
				code = exitSettings
				return err
			}
			err = run(ctx, path, settings)
			if err != nil {
				code = exitFailed
			}
			return err
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "toucanjobd:", err)
		if code == 0 {
			code = exitSettings
		}
	}
	os.Exit(code)
}

func run(ctx context.Context, path string, s *jobd.Settings) error {
	out := logio.New(os.Stdout)
	defer out.Flush()
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: out})
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	d := &jobd.Daemon{Settings: s, SettingsPath: path, Reload: hangup, Platform: platform.Assemble(s), Logger: logger, Clock: clock.Suspending()}
	return d.Run(ctx)
}
