package opcli

import (
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/pkg/plat"
)

var platformFlag = &cli.StringFlag{Name: "platform", Usage: "`URL` of the platform, such as http://10.0.0.5:8000"}

func timeoutFlag(d time.Duration) *cli.DurationFlag {
	return &cli.DurationFlag{Name: "timeout", Value: d, Usage: "give up after `DURATION`"}
}

// platformClient returns a client of the platform that the flag --platform names.
func platformClient(c *cli.Command) (*plat.Client, error) {
	if c.String("platform") == "" {
		return nil, cli.Exit("--platform is missing", exitUsage)
	}
	return &plat.Client{BaseURL: c.String("platform")}, nil
}

// operatorName returns the user's name, which the log records as the writer.
func operatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unnamed"
}
