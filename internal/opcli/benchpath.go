package opcli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
)

func benchPathCommand() *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "compare requests through an entry with requests sent directly to the target",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.IntFlag{Name: "rounds", Value: 10, Usage: "`NUMBER` of measured rounds on each path"},
			&cli.DurationFlag{Name: "round", Value: 500 * time.Millisecond, Usage: "`DURATION` of one round"},
			&cli.IntFlag{Name: "callers", Value: 8, Usage: "`NUMBER` of concurrent callers, at most the target's 8 slots"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := bench.Path(ctx, bench.PathOptions{Rounds: c.Int("rounds"), RoundTime: c.Duration("round"), Callers: c.Int("callers")})
			if err != nil {
				return err
			}
			return printBench(*r, r.Bounds(), c.Bool("json"))
		},
	}
}
