package opcli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
)

func benchQueuesCommand() *cli.Command {
	return &cli.Command{
		Name:  "queues",
		Usage: "simulate policies for the queue of an overloaded pool",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that the random choices derive from"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return printBench(*bench.Queues(c.Uint64("seed")), nil, c.Bool("json"))
		},
	}
}
