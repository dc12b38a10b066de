package opcli

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
)

// benchCommand returns the command whose subcommands run the measurements of package bench.
// Each prints a table or, with --json, one JSON object.
func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "run a measurement on this machine",
		Commands: []*cli.Command{
			benchPlannerCommand(),
			benchCapacityCommand(),
			benchFileCommand(),
			benchRolloutCommand(),
			benchSlotsCommand(),
			benchQueuesCommand(),
			benchPathCommand(),
		},
	}
}

// printBench prints a result. It returns an error if the result misses a bound.
func printBench[T any](result T, bounds []bench.Bound, asJSON bool) error {
	if err := bench.Print(os.Stdout, result, bounds, asJSON); err != nil {
		return err
	}
	if missed := bench.Missed(bounds); len(missed) > 0 {
		return cli.Exit(fmt.Sprintf("%d bounds missed; the first is %s %s, got %s", len(missed), missed[0].Key, missed[0].Want, missed[0].Got), exitFailed)
	}
	return nil
}
