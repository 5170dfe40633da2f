package kernel

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/kernel/signals"
)

// Version is the version of all programs; a build can set it with -ldflags.
var Version = "0.1.0-dev"

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage means that the arguments or the settings are invalid.
	ExitUsage = 2
	// ExitRefused is an exit code of the operators' command: the change was refused.
	ExitRefused = 3
	// ExitOutcomeUnknown is an exit code of the operators' command: it is not known whether
	// the change was accepted.
	ExitOutcomeUnknown = 4
)

// finalFlushTimeout is how long an ending program waits for each output that blocks. Lines
// that have not been written by then are lost.
const finalFlushTimeout = time.Second

type programFlags struct {
	Settings    string `short:"s" long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	CheckConfig bool   `long:"check-config" description:"check the settings file and exit"`
	Bootstrap   bool   `long:"bootstrap" description:"form a new group of voters (control instances, first start only)"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Main runs a program that consists of the named plug-ins and returns its exit code.
// SIGINT and SIGTERM stop it gracefully and SIGHUP reloads its settings, even if they
// arrive before the plug-ins have started. Main does not restore the default actions of
// these signals when it returns.
func Main(name string, plugins []string, args []string, stdout, stderr io.Writer) int {
	signals.Catch()
	bufferedStderr := event.NewWriter(stderr)
	defer bufferedStderr.FlushWithin(finalFlushTimeout)
	return parseAndRun(name, plugins, args, stdout, bufferedStderr)
}

func parseAndRun(name string, plugins []string, args []string, stdout, stderr io.Writer) int {
	var f programFlags
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", &f); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailure
	}
	rest, err := p.ParseArgs(args)
	if code, done := handleFlagResult(name, rest, err, stdout, stderr); done {
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
	if f.CheckConfig {
		signals.Reset()
	}
	return runProgram(name, plugins, f, stdout, stderr)
}

// handleFlagResult prints the result of parsing the flags if it ends the program: the help
// text, an error or an unexpected argument. It then returns the exit code and true.
func handleFlagResult(name string, rest []string, err error, stdout, stderr io.Writer) (int, bool) {
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
	defer logs.FlushWithin(finalFlushTimeout)
	o := Options{Plugins: plugins, Settings: file, Log: logs, Bootstrap: f.Bootstrap, SettingsPath: f.Settings}
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
	if limit := k.instance.runtimeMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	registerLogMetrics(k, logs)
	if err := runGroup(k); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailure
	}
	return ExitOK
}

// registerLogMetrics registers metrics of the log volume.
func registerLogMetrics(k *Kernel, w *event.Writer) {
	for name, selectCount := range map[string]func(lines, bytes, dropped uint64) uint64{
		"celeryyard_log_lines_total":         func(l, _, _ uint64) uint64 { return l },
		"celeryyard_log_bytes_total":         func(_, b, _ uint64) uint64 { return b },
		"celeryyard_log_dropped_lines_total": func(_, _, d uint64) uint64 { return d },
	} {
		k.metrics.NewGauge(name, func() float64 { return float64(selectCount(w.Counts())) })
	}
}

// runGroup runs the kernel together with the watchers of signals and settings until the
// kernel has failed or has stopped on request.
func runGroup(k *Kernel) error {
	var g run.Group
	ctx, stop := context.WithCancel(context.Background())
	watchCtx, stopWatching := context.WithCancel(context.Background())
	g.Add(func() error { return k.Run(ctx) }, func(error) { stop() })
	// Both watchers run until Run has returned: on a signal, watchSignals only cancels ctx.
	g.Add(func() error { return k.watchSignals(watchCtx, stop) }, func(error) { stopWatching() })
	g.Add(func() error { return k.watchSettings(watchCtx) }, func(error) { stopWatching() })
	return g.Run()
}
