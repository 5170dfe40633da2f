// Command celeryyard is the command-line client for operators. It submits changes to the control
// instances and shows the state of the configuration and the fleet.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/celeryyard/celeryyard/kernel"
)

const program = "celeryyard"

// command is a subcommand of the program, such as "template put".
type command struct {
	// path is the name of the command, preceded by the name of its group if it has one.
	path    string
	summary string
	// options returns a pointer to new options of the command.
	options func() any
	// local marks a command that sends no requests to control instances.
	local bool
	// run runs the command. It receives the pointer that options returned, after the flags and
	// arguments have been parsed.
	run func(ctx context.Context, a *app, options any) error
}

// commands holds all registered commands. Only init functions write it.
var commands []command

// register adds a command. Only init functions call it.
func register(c command) { commands = append(commands, c) }

// app holds the state that all commands use.
type app struct {
	flags          globalFlags
	client         *client
	stdout, stderr io.Writer
}

// globalFlags holds the options of all commands.
type globalFlags struct {
	Server    []string `long:"server" value-name:"IP:PORT" env:"CELERYYARD_SERVER" env-delim:"," description:"operators' listener of a control instance; repeat it to name several, which are tried in turn"`
	TokenFile string   `long:"token-file" value-name:"FILE" env:"CELERYYARD_TOKEN_FILE" description:"file that holds the operator's token"`
	Output    string   `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout   string   `long:"timeout" value-name:"DURATION" default:"30s" description:"bound of the whole command, such as 30s"`
	Version   bool     `long:"version" description:"print the version and exit"`
}

// exitError is an error that determines the exit code of the program.
type exitError struct {
	// code is an exit code of package kernel.
	code int
	// text is printed. It is empty if the command has already printed the outcome.
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// newExitErrorf returns an exitError with a formatted text.
func newExitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(runMain(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// runMain runs the program and returns its exit code.
func runMain(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, stderr: stderr}
	for _, arg := range args {
		// The parser would require a command even with --version.
		if arg == "--version" {
			fmt.Fprintf(stdout, "%s %s\n", program, kernel.Version)
			return kernel.ExitOK
		}
		if arg == "--" {
			break
		}
	}
	chosen, options, err := parse(a, args)
	if err == nil {
		err = a.run(ctx, chosen, options)
	}
	return printError(err, stdout, stderr)
}

func (a *app) run(ctx context.Context, c *command, options any) error {
	if c.local {
		return c.run(ctx, a, options)
	}
	var err error
	if a.client, err = newClient(&a.flags); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.client.timeout)
	defer cancel()
	return c.run(ctx, a, options)
}

// parse returns the command that args select, and its parsed options.
func parse(a *app, args []string) (*command, any, error) {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &a.flags); err != nil {
		return nil, nil, err
	}
	var chosen *command
	var chosenOptions any
	// selectors holds, for each command of the parser, a function that sets chosen and chosenOptions.
	selectors := map[*flags.Command]func(){}
	groups := map[string]*flags.Command{}
	for i := range commands {
		c, options := &commands[i], commands[i].options()
		parent, name := p.Command, c.path
		if group, rest, ok := strings.Cut(c.path, " "); ok {
			name = rest
			if groups[group] == nil {
				g, err := p.AddCommand(group, "Commands for each "+group, "", &struct{}{})
				if err != nil {
					return nil, nil, err
				}
				groups[group] = g
			}
			parent = groups[group]
		}
		f, err := parent.AddCommand(name, c.summary, "", options)
		if err != nil {
			return nil, nil, err
		}
		selectors[f] = func() { chosen, chosenOptions = c, options }
	}
	rest, err := p.ParseArgs(args)
	if err != nil {
		return nil, nil, err
	}
	if len(rest) > 0 {
		return nil, nil, newExitErrorf(kernel.ExitUsage, "unexpected argument %q", rest[0])
	}
	active := p.Active
	for active != nil && active.Active != nil {
		active = active.Active
	}
	if selectors[active] == nil {
		return nil, nil, newExitErrorf(kernel.ExitUsage, "a command is required; see --help")
	}
	selectors[active]()
	return chosen, chosenOptions, nil
}

// printError prints the error of a command and returns the exit code of the program.
func printError(err error, stdout, stderr io.Writer) int {
	var fe *flags.Error
	var ee *exitError
	switch {
	case err == nil:
		return kernel.ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, fe.Message)
		return kernel.ExitOK
	case errors.As(err, &fe):
		fmt.Fprintf(stderr, "%s: %s\n", program, fe.Message)
		return kernel.ExitUsage
	case errors.As(err, &ee):
		if ee.text != "" {
			fmt.Fprintf(stderr, "%s: %s\n", program, ee.text)
		}
		return ee.code
	}
	fmt.Fprintf(stderr, "%s: %v\n", program, err)
	return kernel.ExitFailure
}
