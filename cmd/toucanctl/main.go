// Command toucanctl is the command line for operators of toucanhatch.
package main

import (
	"os"

	"github.com/toucanhatch/toucanhatch/internal/opcli"
)

func main() { os.Exit(opcli.Main(os.Args)) }
