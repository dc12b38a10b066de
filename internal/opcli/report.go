package opcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/burn"
)

const adminTimeout = 5 * time.Second

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "report on the service that callers get",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show how fast each pool spends its error budget, and on what",
			Description: "Merges the counts of all named entries. A burn of 1 spends the error budget of 28 days in exactly\n" +
				"28 days. Entries keep the counts in memory only: the column COVERS shows how far back they go.",
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "administration `ADDRESS` of an entry; repeat it for each entry"},
				&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				return reportBurn(ctx, os.Stdout, c.StringSlice("admin"), c.Bool("json"))
			},
		}},
	}
}

func reportBurn(ctx context.Context, w io.Writer, admins []string, asJSON bool) error {
	var samples []burn.Sample
	var missing []string
	for _, admin := range admins {
		var s []burn.Sample
		if err := getJSON(ctx, "http://"+admin+"/burn", &s); err != nil {
			missing = append(missing, fmt.Sprintf("%s (%v)", admin, err))
			continue
		}
		samples = append(samples, s...)
	}
	lines := burn.Report(samples, time.Now())
	if err := printBurn(w, lines, missing, asJSON); err != nil {
		return err
	}
	if len(missing) > 0 {
		return cli.Exit("the report lacks the requests of: "+strings.Join(missing, ", "), exitFailed)
	}
	return nil
}

func printBurn(w io.Writer, lines []burn.PoolReport, missing []string, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(struct {
			Pools   []burn.PoolReport `json:"pools"`
			Missing []string          `json:"missing_entries"`
		}{lines, missing})
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "POOL\tOBJECTIVE\tREQUESTS\tBURN %v\tBURN %v\tCOVERS\tBUDGET ENDS\tSPENT ON\n", burn.ShortWindow, burn.LongWindow)
	for i := range lines {
		l := &lines[i]
		end := "lasts"
		if l.BudgetEnd != nil {
			end = l.BudgetEnd.Format(time.RFC3339)
		}
		spent := make([]string, len(l.BadByCause))
		for j, s := range l.BadByCause {
			spent[j] = fmt.Sprintf("%s %d", s.Cause, s.Requests)
		}
		fmt.Fprintf(tw, "%s\t%.3f%%\t%d\t%.2f\t%.2f\t%s\t%s\t%s\n",
			l.Pool, 100*l.Objective, l.Requests, l.ShortBurn, l.LongBurn, l.Covers, end, strings.Join(spent, ", "))
	}
	return tw.Flush()
}

// getJSON decodes a JSON response of an administration listener into out.
func getJSON(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
