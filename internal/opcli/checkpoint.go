package opcli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/follow"
)

func checkpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "checkpoint",
		Usage: "append a checkpoint of the current state to the log, so that daemons can start after older records are trimmed",
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
			if err := f.AppendCheckpoint(ctx, operatorName(), time.Now()); err != nil {
				return err
			}
			s := f.Snapshot()
			fmt.Printf("checkpoint written: version %d, config offset %d, fleet offset %d\n", s.Version, s.ConfigOffset, s.FleetOffset)
			return nil
		},
	}
}
