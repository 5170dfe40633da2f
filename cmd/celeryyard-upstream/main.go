// Command celeryyard-upstream runs a stand-in for an upstream.
package main

import (
	"os"

	"github.com/celeryyard/celeryyard/kernel"
	_ "github.com/celeryyard/celeryyard/kernel/signals/early" // catches signals
	"github.com/celeryyard/celeryyard/role/upstream"
)

func main() {
	os.Exit(kernel.Main("celeryyard-upstream", upstream.Plugins(), os.Args[1:], os.Stdout, os.Stderr))
}
