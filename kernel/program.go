package kernel

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// Version is the version of all programs; the build may set it with -ldflags.
var Version = "0.1.0-dev"

// Exit codes of all programs.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitRefused   = 3
	ExitUndecided = 4
)

type programFlags struct {
	Settings    string `short:"s" long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	CheckConfig bool   `long:"check-config" description:"check the settings file and exit"`
	Bootstrap   bool   `long:"bootstrap" description:"form a new group of voters (control instances, first start only)"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Main runs a program made of the named plug-ins and returns its exit code.
// SIGINT and SIGTERM stop it gracefully.
func Main(name string, plugins []string, args []string, stdout, stderr io.Writer) int {
	var f programFlags
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &f); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailure
	}
	rest, err := p.ParseArgs(args)
	if code, done := flagOutcome(name, rest, err, stdout, stderr); done {
		return code
	}
	if f.Version {
		fmt.Fprintf(stdout, "%s %s\n", name, Version)
		return ExitOK
	}
	if f.Settings == "" {
		fmt.Fprintf(stderr, "%s: --settings is required\n", name)
		return ExitUsage
	}
	return runProgram(name, plugins, f, stdout, stderr)
}

func flagOutcome(name string, rest []string, err error, stdout, stderr io.Writer) (int, bool) {
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, fe.Message)
		return ExitOK, true
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage, true
	case len(rest) > 0:
		fmt.Fprintf(stderr, "%s: unexpected argument %q\n", name, rest[0])
		return ExitUsage, true
	}
	return ExitOK, false
}

func runProgram(name string, plugins []string, f programFlags, stdout, stderr io.Writer) int {
	file, err := settings.Load(f.Settings)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	logs := event.NewWriter(os.Stdout)
	defer logs.Flush()
	o := Options{Plugins: plugins, Settings: file, Log: logs, Bootstrap: f.Bootstrap, Path: f.Settings}
	if err := CheckFiles(o); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if f.CheckConfig {
		fmt.Fprintf(stdout, "%s: settings are valid\n", f.Settings)
		return ExitOK
	}
	k, err := New(o)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	debug.SetGCPercent(k.instance.GCPercent)
	countLogs(k, logs)
	if err := runGroup(k); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailure
	}
	return ExitOK
}

// countLogs shows the volume of the log among the metrics.
func countLogs(k *Kernel, w *event.Writer) {
	for name, pick := range map[string]func(lines, bytes, dropped uint64) uint64{
		"celeryyard_log_lines_total":         func(l, _, _ uint64) uint64 { return l },
		"celeryyard_log_bytes_total":         func(_, b, _ uint64) uint64 { return b },
		"celeryyard_log_dropped_lines_total": func(_, _, d uint64) uint64 { return d },
	} {
		k.metrics.NewGauge(name, func() float64 { return float64(pick(w.Counts())) })
	}
}

// runGroup runs the kernel until it ends or a signal asks it to stop.
func runGroup(k *Kernel) error {
	var g run.Group
	// Both signals stay caught until the process ends: by its default action a SIGHUP
	// that comes during a planned stop would cut the calls in flight.
	held := make(chan os.Signal, heldSignals)
	signal.Notify(held, syscall.SIGHUP, syscall.SIGTERM)
	go k.logSignals(held)
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return k.Run(ctx) }, func(error) { cancel() })
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	g.Add(func() error { return k.watchSettings(ctx) }, func(error) { cancel() })
	err := g.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
