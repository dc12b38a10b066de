// Command fakerelay forwards TCP connections. It can close them or silently stop forwarding their data.
package main

import (
	"os"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
)

func main() { os.Exit(fakes.RelayMain(os.Args)) }
