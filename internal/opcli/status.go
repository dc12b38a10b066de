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
		Usage:       "show what is in force on each entry, what the fleet still lacks against the file, and what is at risk",
		Description: exitCodes,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "administration `ADDRESS` of an entry, IP:port; further ones are tried when it does not answer"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, one object a line"},
			&cli.BoolFlag{Name: "watch", Usage: "print each change until the fleet has reached the file"},
			&cli.DurationFlag{Name: "interval", Value: time.Second, Usage: "time between two looks with --watch"},
			&cli.DurationFlag{Name: "timeout", Usage: "end --watch after `DURATION`; 0 never ends it"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if d := c.Duration("timeout"); d > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, d)
				defer cancel()
			}
			w := watcher{addresses: c.StringSlice("admin"), asJSON: c.Bool("json"), interval: c.Duration("interval")}
			if c.Bool("watch") {
				return w.watch(ctx)
			}
			st, err := w.fetch(ctx)
			if err != nil {
				return err
			}
			w.print(st)
			return exitOf(st)
		},
	}
}

// exitOf returns the exit code of a status as an error.
func exitOf(st *daemon.Status) error {
	switch {
	case len(st.Risks) > 0:
		return cli.Exit("", exitAtRisk)
	case !st.Reached:
		return cli.Exit("", exitNotReached)
	default:
		return nil
	}
}

type watcher struct {
	addresses []string
	asJSON    bool
	interval  time.Duration
	last      string
}

// watch prints the status when it has changed, until the fleet has reached the file or ctx ends.
func (w *watcher) watch(ctx context.Context) error {
	var last error
	for {
		st, err := w.fetch(ctx)
		switch {
		case err == nil:
			w.print(st)
			if last = exitOf(st); last == nil {
				return nil
			}
		case ctx.Err() == nil:
			fmt.Fprintln(os.Stderr, "toucanctl:", err)
			last = err
		}
		if clock.Sleep(ctx, clock.System(), w.interval) != nil {
			return last
		}
	}
}

// fetch asks the entries in turn and returns the first answer.
func (w *watcher) fetch(ctx context.Context) (*daemon.Status, error) {
	var failed []error
	for _, address := range w.addresses {
		st, err := fetchStatus(ctx, address)
		if err == nil {
			return st, nil
		}
		failed = append(failed, err)
	}
	return nil, errors.Join(failed...)
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
		return nil, fmt.Errorf("entry %s answered with status %s", address, resp.Status)
	}
	var st daemon.Status
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return nil, fmt.Errorf("entry %s: %w", address, err)
	}
	return &st, nil
}

// print writes a status unless it says the same as the last one.
func (w *watcher) print(st *daemon.Status) {
	text := statusText(st)
	if text == w.last {
		return
	}
	w.last = text
	if w.asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(st) // a closed output ends the process by its signal
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
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\n", p.ID, p.Owed, p.MinServing, phases(p.VMs))
	}
	_ = tw.Flush() // a strings.Builder does not fail
	for _, l := range st.Unmet {
		fmt.Fprintln(&b, "lacks:", l)
	}
	for _, r := range st.Risks {
		fmt.Fprintf(&b, "at risk: %s %s%s%s by %s: %s\n", r.Kind, r.Pool, prefixed(" wave ", r.Wave), prefixed(" vm ", r.VM), r.At.Format(time.RFC3339), r.Reason)
	}
	if st.Reached {
		fmt.Fprintln(&b, "the fleet has reached the file")
	}
	return b.String()
}

func prefixed[T ~string](prefix string, s T) string {
	if s == "" {
		return ""
	}
	return prefix + string(s)
}

func phases(counts map[fold.Phase]int) string {
	var out []string
	for p, n := range counts {
		out = append(out, fmt.Sprintf("%d %s", n, p))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
