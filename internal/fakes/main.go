package fakes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

// headerTimeout limits how long a client may take to send the header of a request.
const headerTimeout = 5 * time.Second

// PlatformMain runs a Platform as a program and returns its exit code.
func PlatformMain(args []string) int {
	return run(args, "fakelog", "fake of the platform's log service and live list",
		func(*cli.Command) http.Handler { return NewPlatform().Handler() })
}

// TargetMain runs a Target as a program and returns its exit code.
func TargetMain(args []string) int {
	return run(args, "faketarget", "fake target", func(c *cli.Command) http.Handler {
		return NewTarget(c.String("name")).Handler()
	})
}

func run(args []string, name, usage string, handler func(*cli.Command) http.Handler) int {
	cmd := &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to serve on"},
			&cli.StringFlag{Name: "name", Value: name, Usage: "`NAME` in responses"},
			&cli.StringFlag{Name: "address-file", Usage: "`FILE` to write the address to once the program accepts connections"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			if err := writeAddress(c.String("address-file"), l.Addr().String()); err != nil {
				return err
			}
			srv := &http.Server{Handler: handler(c), ReadHeaderTimeout: headerTimeout}
			return srv.Serve(l)
		},
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 1
	}
	return 0
}

// writeAddress writes the address to a file, or to standard output if path is empty. It renames a complete temporary file
// to path, so that a reader never sees a part of the address.
func writeAddress(path, address string) error {
	if path == "" {
		fmt.Println(address)
		return nil
	}
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, []byte(address), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}
