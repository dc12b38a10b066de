package opcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/fold"
	"github.com/toucanhatch/toucanhatch/internal/follow"
	"github.com/toucanhatch/toucanhatch/pkg/fleet"
	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

const publishTimeout = 30 * time.Second

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:        "publish",
		Usage:       "publish a complete fleet file; safe to repeat",
		Description: exitCodes,
		ArgsUsage:   "FILE",
		Flags: []cli.Flag{
			platformFlag, timeoutFlag(publishTimeout),
			&cli.StringFlag{Name: "as", Usage: "`NAME` that others see in a conflict (default: the user's name)"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			f, err := loadArgument(c)
			if err != nil {
				return err
			}
			client, err := platformClient(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			name := c.String("as")
			if name == "" {
				name = operatorName()
			}
			outcome, err := Publish(ctx, client, name, f)
			return printPublishResult(outcome, err, c.Bool("json"))
		},
	}
}

// publishResult is the JSON object that publish --json prints.
type publishResult struct {
	Result  string        `json:"result"` // accepted, conflict, rejected or not_yet_known
	Version ident.Version `json:"version,omitempty"`
	By      string        `json:"by,omitempty"` // who published the version in conflict
	Reason  string        `json:"reason,omitempty"`
}

// printPublishResult prints the outcome of a publish and returns its exit code as an error.
func printPublishResult(outcome fold.Outcome, err error, asJSON bool) error {
	out := publishResult{Result: string(outcome.Result), Version: outcome.Version, By: outcome.Publisher, Reason: outcome.Reason}
	code := exitOK
	switch {
	case errors.Is(err, follow.ErrUnknownOutcome) || errors.Is(err, follow.ErrEndNotReached):
		out = publishResult{Result: "not_yet_known", Reason: err.Error()}
		code = exitUnknown
	case err != nil:
		return err
	case outcome.Result == fold.Conflict:
		code = exitConflict
	case outcome.Result != fold.Accepted:
		code = exitRejected
	}
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(out); err != nil {
			return err
		}
	} else {
		fmt.Println(out.text())
	}
	if code != exitOK {
		return cli.Exit("", code)
	}
	return nil
}

func (r publishResult) text() string {
	switch r.Result {
	case string(fold.Accepted):
		return fmt.Sprintf("accepted: version %d is in force", r.Version)
	case "not_yet_known":
		return fmt.Sprintf("not yet known whether the file is in force (%s); publish the same file again", r.Reason)
	default:
		return r.Result + ": " + r.Reason
	}
}

// Publish appends a file to the config stream and returns the outcome of the publish.
// An error that wraps follow.ErrUnknownOutcome or follow.ErrEndNotReached means that the
// outcome is not known yet. Publishing the same file again is safe.
func Publish(ctx context.Context, log follow.Log, name string, file *fleet.File) (fold.Outcome, error) {
	f, stop, err := follow.Open(ctx, log)
	if err != nil {
		return fold.Outcome{}, err
	}
	defer stop()
	return f.Publish(ctx, name, file)
}
