// Command celeryyard-load generates load, checks every answer and runs experiments that measure the
// system.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/plugin/experiment"
	"github.com/celeryyard/celeryyard/plugin/load"
	loadrole "github.com/celeryyard/celeryyard/role/load"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	const name = "celeryyard-load"
	if len(args) == 1 && args[0] == "--version" {
		fmt.Fprintf(stdout, "%s %s\n", name, kernel.Version)
		return kernel.ExitOK
	}
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	_, err := p.AddCommand("run", "generate load and check every answer", "",
		&load.Command{Plugins: loadrole.Plugins(), Stdout: stdout})
	if err == nil {
		_, err = p.AddCommand("experiment", "measure the system; runs all scenarios if none is named", "",
			&experiment.Command{Stdout: stdout})
	}
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var fe *flags.Error
	switch {
	case err == nil:
		return kernel.ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, fe.Message)
		return kernel.ExitOK
	case errors.As(err, &fe) || errors.Is(err, load.ErrUsage):
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return kernel.ExitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	return kernel.ExitFailure
}
