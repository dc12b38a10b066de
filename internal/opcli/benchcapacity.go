package opcli

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/bench"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
)

func benchCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how resource use grows with the fleet; docs/CAPACITY.md is based on the results",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.IntSliceFlag{Name: "vms", Value: []int{50, 2000, 8000}, Usage: "`NUMBERS` of VMs in the fleet"},
			&cli.IntSliceFlag{Name: "entries", Value: []int{1, 3, 9}, Usage: "`NUMBERS` of idle daemons"},
			&cli.DurationFlag{Name: "idle", Value: 5 * time.Second, Usage: "`DURATION` for which idle daemons are measured"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := bench.Capacity(ctx, bench.CapacityOptions{VMs: c.IntSlice("vms"), Entries: c.IntSlice("entries"), IdleTime: c.Duration("idle")})
			if err != nil {
				return err
			}
			return printBench(*r, r.Bounds(), c.Bool("json"))
		},
	}
}

// benchFileCommand returns the command that prints the fleet file of bench capacity, for measurements with separate processes.
func benchFileCommand() *cli.Command {
	return &cli.Command{
		Name:  "file",
		Usage: "print a fleet file of a given size, for measurements with separate processes",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "vms", Value: 8000, Usage: "`NUMBER` of VMs"},
			&cli.IntFlag{Name: "target-port", Value: 9, Usage: "`PORT` of every target, on a loopback address of its own"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			data, err := fleet.Encode(bench.EvenFleet(c.Int("vms"), c.Int("target-port")))
			if err != nil {
				return err
			}
			_, err = os.Stdout.Write(data)
			return err
		},
	}
}
