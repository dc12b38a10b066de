package opcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/check"
	"github.com/toucanhatch/toucanhatch/platform"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "work with the configuration of the jobs daemon, toucanjobd",
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "report the faults of a configuration before it is published, and what it changes",
			Description: "Errors are faults for which the daemons would not put the file in force. Warnings concern entries that can't\n" +
				"work or contradict each other. Notes are changes, and unusual entries that work. Keys appear as the first bytes\n" +
				"of their SHA-256 digests.\n\n" +
				"Exit codes: 0 nothing above a note; 1 a file could not be read, or that of --against is invalid;\n" +
				"2 errors, warnings or invalid arguments.",
			ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "against", Usage: "`FILE` with the version in force, to compare with"},
				&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			},
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 || c.Args().First() == "" {
					return cli.Exit("one argument FILE is expected", exitUsage)
				}
				return checkConfig(os.Stdout, c.Args().First(), c.String("against"), c.Bool("json"))
			},
		}},
	}
}

// checkConfig prints what is wrong with a configuration, compared with that in the file against unless its name is empty.
func checkConfig(w io.Writer, path, against string, asJSON bool) error {
	value, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var inForce []byte
	if against != "" {
		if inForce, err = os.ReadFile(against); err != nil {
			return err
		}
		inForce = append([]byte{}, inForce...) // not nil if the file is empty
	}
	report, err := platform.CheckConfig(value, inForce)
	if err != nil {
		return fmt.Errorf("%s: %w", against, err)
	}
	out := newConfigReport(path, report)
	if asJSON {
		err = json.NewEncoder(w).Encode(out)
	} else {
		err = out.print(w)
	}
	if err == nil && out.Errors+out.Warnings > 0 {
		return cli.Exit("", exitUsage)
	}
	return err
}

// configReport is the JSON object that config check --json prints.
type configReport struct {
	File     string                   `json:"file"`
	Version  int64                    `json:"version"` // 0 if it could not be decoded
	Errors   int                      `json:"errors"`
	Warnings int                      `json:"warnings"`
	Notes    int                      `json:"notes"`
	Findings []platform.ConfigFinding `json:"findings"` // errors first, then warnings, then notes
}

func newConfigReport(path string, r *platform.ConfigReport) *configReport {
	return &configReport{
		File: path, Version: r.Version, Errors: r.Count(check.SeverityError), Warnings: r.Count(check.SeverityWarning), Notes: r.Count(check.SeverityNote),
		Findings: append([]platform.ConfigFinding{}, r.Findings...), // a list in JSON, also if it is empty
	}
}

// print prints the report as text, grouped by severity.
func (r *configReport) print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s: version %d: errors %d, warnings %d, notes %d\n", r.File, r.Version, r.Errors, r.Warnings, r.Notes)
	var group check.Severity
	for i := range r.Findings {
		f := &r.Findings[i]
		if f.Severity != group && err == nil {
			group = f.Severity
			_, err = fmt.Fprintf(w, "\n%ss\n", group)
		}
		place := fmt.Sprintf("%s:%d:%d:", r.File, f.Line, f.Column)
		if f.Path != "" {
			place += " " + f.Path + ":"
		}
		if err == nil {
			_, err = fmt.Fprintf(w, "  %s %s (%s)\n", place, f.Message, f.Code)
		}
	}
	return err
}
