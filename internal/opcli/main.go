package opcli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/toucanhatch/toucanhatch/internal/daemon"
)

// Exit codes of toucanctl.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2 // invalid arguments or an invalid file
	exitConflict   = 3 // check, publish: the version in force is not the one that the file was made from
	exitRejected   = 4 // publish: the file contradicts the one in force
	exitUnknown    = 5 // publish: not yet known whether the file is in force; publish it again
	exitNotReached = 6 // status: the fleet does not meet all requirements of the file yet
	exitAtRisk     = 7 // status: a requirement of the file may not be met in time
)

const exitCodes = `
Exit codes: 0 done; 1 failed; 2 invalid arguments or a file with faults; 3 check or publish: conflict;
4 publish: rejected; 5 publish: not yet known; 6 status: not reached yet; 7 status: at risk.`

// Main runs toucanctl and returns its exit code.
func Main(args []string) int {
	cmd := &cli.Command{
		Name:                  "toucanctl",
		Usage:                 "publish fleet files and show how far the fleet meets them",
		Description:           exitCodes,
		Version:               daemon.Version,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			devCommand(), showCommand(), checkCommand(), diffCommand(), publishCommand(), statusCommand(), reportCommand(), configCommand(),
			checkpointCommand(), benchCommand(),
		},
	}
	err := cmd.Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "toucanctl:", err)
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailed
}
