// Command toucand is the daemon that serves callers and manages the fleet. It runs on every entry VM.
package main

import (
	"os"

	"github.com/toucanhatch/toucanhatch/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args)) }
