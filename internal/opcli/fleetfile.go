package opcli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all errors in a fleet file; with --platform, also check it against the file in force",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{platformFlag, timeoutFlag(10 * time.Second)},
		Action: func(ctx context.Context, c *cli.Command) error {
			f, err := loadArgument(c)
			if err != nil {
				return err
			}
			if c.String("platform") != "" {
				base, version, err := fileInForce(ctx, c)
				if err != nil {
					return err
				}
				if f, err = loadFile(c.Args().First(), base); err != nil {
					return err
				}
				if f.Base != version {
					return cli.Exit(fmt.Sprintf("made from version %d, but version %d is in force", f.Base, version), exitConflict)
				}
			}
			fmt.Printf("%s: valid, made from version %d: %d pools, %d VMs\n", c.Args().First(), f.Base, len(f.Pools), len(f.VMs))
			return nil
		},
	}
}

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the file in force, with base_version set for the next publish",
		Flags: []cli.Flag{platformFlag, timeoutFlag(10 * time.Second)},
		Action: func(ctx context.Context, c *cli.Command) error {
			f, version, err := fileInForce(ctx, c)
			if err != nil {
				return err
			}
			next := *f
			next.Base = version
			data, err := fleet.Encode(&next)
			if err != nil {
				return err
			}
			_, err = os.Stdout.Write(data)
			return err
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show the changes of a fleet file against the file in force, or against another file",
		ArgsUsage: "FILE [BASE-FILE]",
		Flags:     []cli.Flag{platformFlag, timeoutFlag(10 * time.Second)},
		Action: func(ctx context.Context, c *cli.Command) error {
			f, err := loadArgument(c)
			if err != nil {
				return err
			}
			var base *fleet.File
			if path := c.Args().Get(1); path != "" {
				base, err = loadFile(path, nil)
			} else {
				base, _, err = fileInForce(ctx, c)
			}
			if err != nil {
				return err
			}
			for _, line := range fleet.Diff(base, f).Lines() {
				fmt.Println(line)
			}
			return nil
		},
	}
}

// loadArgument reads the fleet file that the first argument names.
func loadArgument(c *cli.Command) (*fleet.File, error) {
	if c.Args().First() == "" {
		return nil, cli.Exit("argument FILE is missing", exitUsage)
	}
	return loadFile(c.Args().First(), nil)
}

// loadFile reads a fleet file and checks it, also against base unless that is nil.
func loadFile(path string, base *fleet.File) (*fleet.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, cli.Exit(err, exitUsage)
	}
	f, err := fleet.ParseAgainst(path, data, base)
	if err != nil {
		return nil, cli.Exit(err, exitUsage)
	}
	return f, nil
}

// fileInForce reads the log and returns the fleet file and the version in force.
func fileInForce(ctx context.Context, c *cli.Command) (*fleet.File, ident.Version, error) {
	client, err := platformClient(c)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	f, stop, err := follow.Open(ctx, client)
	if err != nil {
		return nil, 0, err
	}
	defer stop()
	s := f.Snapshot()
	return s.File, s.Version, nil
}
