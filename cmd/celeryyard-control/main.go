// Command celeryyard-control runs a control instance.
package main

import (
	"os"

	"github.com/celeryyard/celeryyard/kernel"
	_ "github.com/celeryyard/celeryyard/kernel/signals/early" // catches signals
	"github.com/celeryyard/celeryyard/role/control"
)

func main() {
	os.Exit(kernel.Main("celeryyard-control", control.Plugins(), os.Args[1:], os.Stdout, os.Stderr))
}
