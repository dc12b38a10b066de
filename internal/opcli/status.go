package opcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/clock"
	"github.com/toucanhatch/toucanhatch/internal/daemon"
	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/follow"
)

const statusTimeout = 5 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the version in force on each entry, what the fleet still lacks to meet the file, and what is at risk",
		Description: exitCodes,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "administration `ADDRESS` of an entry, IP:port; repeat it to name entries to try if the first does not respond"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, one object per line"},
			&cli.BoolFlag{Name: "watch", Usage: "print each change until the fleet meets the file and nothing is at risk"},
			&cli.DurationFlag{Name: "interval", Value: time.Second, Usage: "time between two requests with --watch"},
			&cli.DurationFlag{Name: "timeout", Usage: "end --watch after `DURATION`; 0 means no limit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if d := c.Duration("timeout"); d > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, d)
				defer cancel()
			}
			w := statusWatcher{addresses: c.StringSlice("admin"), asJSON: c.Bool("json"), interval: c.Duration("interval")}
			if c.Bool("watch") {
				return w.watch(ctx)
			}
			st, err := w.fetch(ctx)
			if err != nil {
				return err
			}
			w.print(st)
			return exitError(st)
		},
	}
}

// exitError returns the exit code of a status as an error, nil for exitOK.
func exitError(st *daemon.Status) error {
	switch {
	case len(st.Risks) > 0:
		return cli.Exit("", exitAtRisk)
	case !st.Reached:
		return cli.Exit("", exitNotReached)
	default:
		return nil
	}
}

// statusWatcher fetches the status from the first entry that responds, and prints it when it has changed.
type statusWatcher struct {
	addresses   []string
	asJSON      bool
	interval    time.Duration
	lastPrinted string
}

// watch prints the status when it has changed, until the fleet meets the file without risks or ctx is done.
func (w *statusWatcher) watch(ctx context.Context) error {
	var lastErr error
	for {
		st, err := w.fetch(ctx)
		switch {
		case err == nil:
			w.print(st)
			if lastErr = exitError(st); lastErr == nil {
				return nil
			}
		case ctx.Err() == nil:
			fmt.Fprintln(os.Stderr, "toucanctl:", err)
			lastErr = err
		}
		if clock.Sleep(ctx, clock.System(), w.interval) != nil {
			return lastErr
		}
	}
}

// fetch asks the entries in turn and returns the first status that it gets.
func (w *statusWatcher) fetch(ctx context.Context) (*daemon.Status, error) {
	var errs []error
	for _, address := range w.addresses {
		st, err := fetchStatus(ctx, address)
		if err == nil {
			return st, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func fetchStatus(ctx context.Context, address string) (*daemon.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+daemon.StatusPath, nil)
	if err != nil {
		return nil, cli.Exit(err, exitUsage)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entry %s responded with status %s", address, resp.Status)
	}
	var st daemon.Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	return &st, nil
}

// print prints a status unless its text is the same as that of the last one.
func (w *statusWatcher) print(st *daemon.Status) {
	text := statusText(st)
	if text == w.lastPrinted {
		return
	}
	w.lastPrinted = text
	if w.asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(st) // a closed standard output ends the process with SIGPIPE
		return
	}
	fmt.Print(text)
}

func statusText(st *daemon.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d by %s\n", st.Version, st.Publisher)
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ENTRY\tZONE\tVERSION\tREADY\tPLATFORM\tLINK")
	for _, e := range append([]follow.EntryStatus{st.Entries.Self}, st.Entries.Peers...) {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%v\t%v\t%s\n", e.Entry, e.Zone, e.Version, e.Ready, e.Platform, e.Link)
	}
	fmt.Fprintln(tw, "POOL\tOWED\tMIN\tVMS")
	for _, p := range st.Pools {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\n", p.ID, p.Owed, p.MinServing, phaseCounts(p.VMs))
	}
	_ = tw.Flush() // a strings.Builder does not fail
	for _, l := range st.Unmet {
		fmt.Fprintln(&b, "lacks:", l)
	}
	for _, r := range st.Risks {
		fmt.Fprintf(&b, "at risk: %s %s%s%s by %s: %s\n", r.Kind, r.Pool, prefixNonEmpty(" wave ", r.Wave), prefixNonEmpty(" vm ", r.VM), r.At.Format(time.RFC3339), r.Reason)
	}
	if st.Reached {
		fmt.Fprintln(&b, "the fleet has reached the file")
	}
	return b.String()
}

// prefixNonEmpty returns s with a prefix, or nothing if s is empty.
func prefixNonEmpty[T ~string](prefix string, s T) string {
	if s == "" {
		return ""
	}
	return prefix + string(s)
}

// phaseCounts formats the number of VMs in each phase.
func phaseCounts(counts map[fold.Phase]int) string {
	var out []string
	for p, n := range counts {
		out = append(out, fmt.Sprintf("%d %s", n, p))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
