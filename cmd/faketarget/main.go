// Command faketarget is a fake target, to which entries forward requests.
package main

import (
	"os"

	"github.com/toucanhatch/toucanhatch/internal/fakes"
)

func main() { os.Exit(fakes.TargetMain(os.Args)) }
