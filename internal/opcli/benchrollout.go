package opcli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
)

func benchRolloutCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollout",
		Usage: "measure the time from a publish until the file is in force on every entry, with an outage, a zone partition, races and lost responses",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that the random choices derive from"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := bench.Rollout(ctx, c.Uint64("seed"))
			if err != nil {
				return err
			}
			return printBench(result, result.Bounds(), c.Bool("json"))
		},
	}
}
