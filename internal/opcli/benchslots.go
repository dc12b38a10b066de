package opcli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
)

func benchSlotsCommand() *cli.Command {
	return &cli.Command{
		Name:  "slots",
		Usage: "measure slots in use and completed work of 9 entries whose pools peak in turn, with failing targets and a killed entry",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that the random choices derive from"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := bench.Slots(ctx, c.Uint64("seed"))
			if err != nil {
				return err
			}
			return printBench(*result, result.Bounds(), c.Bool("json"))
		},
	}
}
