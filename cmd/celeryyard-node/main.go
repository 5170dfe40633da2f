// Command celeryyard-node runs a node, the process beside an upstream.
package main

import (
	"os"

	"github.com/celeryyard/celeryyard/kernel"
	_ "github.com/celeryyard/celeryyard/kernel/signals/early" // catches signals
	"github.com/celeryyard/celeryyard/role/node"
)

func main() {
	os.Exit(kernel.Main("celeryyard-node", node.Plugins(), os.Args[1:], os.Stdout, os.Stderr))
}
