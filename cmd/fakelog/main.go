// Command fakelog is a fake of the platform's log service and live list.
package main

import (
	"os"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
)

func main() { os.Exit(fakes.PlatformMain(os.Args)) }
