package opcli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
)

func benchPlannerCommand() *cli.Command {
	return &cli.Command{
		Name:  "planner",
		Usage: "run the planner on a simulated calendar of five weeks with waves, returns and failures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "fleet", Value: "kigali", Usage: "`NAME` of the simulated fleet: kigali, quito or design"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that the random calendar derives from"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			result, violations, err := bench.Planner(c.String("fleet"), c.Uint64("seed"))
			if err != nil {
				return err
			}
			for _, v := range violations {
				fmt.Fprintln(os.Stderr, v)
			}
			return printBench(result, result.Bounds(), c.Bool("json"))
		},
	}
}
