package jobcli

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

// Exit codes of toucanjobd.
const (
	exitOK       = 0
	exitFailed   = 1 // the daemon could not start or stopped on an error
	exitSettings = 2 // the settings or the command line are invalid
)

// Main runs toucanjobd and returns its exit code.
func Main(args []string) int {
	code := exitOK
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before the settings are read: without a handler the signal ends the process
	cmd := &cli.Command{
		Name:      "toucanjobd",
		Usage:     "accept jobs, run them on the pools' targets and maintain the pools' capacity",
		UsageText: "toucanjobd --settings FILE\ntoucanjobd check-settings FILE\ntoucanjobd dev",
		Description: "Settings are described in docs/settings.md. Logs go to standard output, one JSON object per line.\n\n" +
			"Signals: SIGTERM and SIGINT hand the partitions over to other daemons and stop the process gracefully; a second\n" +
			"one ends it at once. SIGHUP reloads the settings.\n\n" +
			"Exit codes: 0 stopped gracefully; 1 failed; 2 invalid settings or arguments.",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "TOML `FILE` with the settings of this process", Sources: cli.EnvVars(jobd.SettingsEnv),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := jobd.LoadSettings(c.String("settings"))
			if err != nil {
				code = exitSettings
				return err
			}
			if err = run(ctx, c.String("settings"), settings, reload); err != nil {
				code = exitFailed
			}
			return err
		},
		Commands: []*cli.Command{
			{
				Name: "check-settings", Usage: "check a settings file and exit", ArgsUsage: "FILE",
				Action: func(_ context.Context, c *cli.Command) error {
					if _, err := jobd.LoadSettings(c.Args().First()); err != nil {
						code = exitSettings
						return err
					}
					fmt.Println("settings are valid")
					return nil
				},
			},
			devCommand(),
		},
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "toucanjobd:", err)
		if code == exitOK {
			code = exitSettings
		}
	}
	return code
}

// run runs the daemon until SIGINT or SIGTERM. It logs to standard output.
func run(ctx context.Context, path string, s *jobd.Settings, reload <-chan os.Signal) error {
	out := logio.New(os.Stdout)
	defer out.Flush()
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: out})
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	context.AfterFunc(ctx, cancel) // restores the default handling, so that a second signal ends the process
	d := &jobd.Daemon{
		Settings: s, SettingsPath: path, Reload: reload, Platform: platform.New(s), Logger: logger, Clock: clock.SuspendAware(),
	}
	return d.Run(ctx)
}
