package opcli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

var platformFlag = &cli.StringFlag{Name: "platform", Usage: "`URL` of the platform, such as http://10.0.0.5:8000"}

func timeoutFlag(d time.Duration) *cli.DurationFlag {
	return &cli.DurationFlag{Name: "timeout", Value: d, Usage: "give up after `DURATION`"}
}

func platformClient(c *cli.Command) (*plat.Client, error) {
	if c.String("platform") == "" {
		return nil, cli.Exit("--platform is missing", exitUsage)
	}
	return &plat.Client{BaseURL: c.String("platform")}, nil
}

func operator() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unnamed"
}

func checkpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "checkpoint",
		Usage: "append a checkpoint of the present state to the log, from which a daemon starts once older records are trimmed",
		Flags: []cli.Flag{platformFlag, timeoutFlag(time.Minute)},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := platformClient(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			f, stop, err := follow.Open(ctx, client)
			if err != nil {
				return err
			}
			defer stop()
			if err := f.AppendCheckpoint(ctx, operator(), time.Now()); err != nil {
				return err
			}
			s := f.Snapshot()
			fmt.Printf("checkpoint written: version %d, config offset %d, fleet offset %d\n", s.Version, s.ConfigOffset, s.FleetOffset)
			return nil
		},
	}
}
