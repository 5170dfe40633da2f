// Command celeryyard-node is the program of the process beside an upstream.
package main

import (
	"os"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/role"
)

func main() {
	os.Exit(kernel.Main("celeryyard-node", role.Node(), os.Args[1:], os.Stdout, os.Stderr))
}
