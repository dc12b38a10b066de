// Command toucanjobd is the daemon that accepts jobs and runs them on targets. It runs on every entry VM of the platform.
package main

import (
	"os"

	"github.com/toucanhatch/toucanhatch/internal/jobcli"
)

func main() { os.Exit(jobcli.Main(os.Args)) }
