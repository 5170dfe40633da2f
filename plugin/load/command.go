package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/oklog/run"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// ErrCheckFailed is returned by a command whose run or experiment finished, but failed a check.
var ErrCheckFailed = errors.New("a check failed")

// ErrUsage marks errors in the arguments or settings.
var ErrUsage = errors.New("usage")

// Job is a plug-in that ends by itself and then has a result.
type Job interface {
	// Done returns a channel that is closed on completion.
	Done() <-chan struct{}
}

// OutputFormat is the format in which a result is written: table or json.
type OutputFormat string

// UnmarshalFlag implements flags.Unmarshaler.
func (o *OutputFormat) UnmarshalFlag(value string) error {
	if value != "table" && value != "json" {
		return errors.Newf("output %q is neither table nor json", value)
	}
	*o = OutputFormat(value)
	return nil
}

// TableWriter is a result that can be written as a table.
type TableWriter interface {
	WriteTable(w io.Writer) error
}

// Write writes r to w in the format o. JSON needs no method of r.
func (o OutputFormat) Write(w io.Writer, r TableWriter) error {
	if o != "json" {
		return r.WriteTable(w)
	}
	if err := json.MarshalWrite(w, r, jsontext.WithIndent("  "), json.Deterministic(true)); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

// Command is the subcommand "run".
type Command struct {
	Settings    string       `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file, JSON with comments"`
	CheckConfig bool         `long:"check-config" description:"check the settings file and exit"`
	Output      OutputFormat `short:"o" long:"output" value-name:"table|json" default:"table" description:"form of the result"`
	// Plugins and Stdout are set by the program, not by flags.
	Plugins []string  `no-flag:"true"`
	Stdout  io.Writer `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	file, err := settings.Load(c.Settings)
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	o := kernel.Options{Plugins: c.Plugins, Settings: file, Log: os.Stderr}
	if c.CheckConfig {
		return errors.Mark(kernel.CheckSettings(o), ErrUsage)
	}
	p, err := RunJob(o, "load")
	if err != nil {
		return err
	}
	r := p.(*Load).Result()
	if err := c.Output.Write(c.Stdout, r); err != nil {
		return err
	}
	if !r.OK {
		return ErrCheckFailed
	}
	return nil
}

// RunJob runs a kernel until the plug-in with the given name is done or the process receives a
// signal. It returns the plug-in, which must implement Job.
func RunJob(o kernel.Options, name string) (kernel.Plugin, error) {
	k, err := kernel.New(o)
	if err != nil {
		return nil, errors.Mark(err, ErrUsage)
	}
	p := k.Plugin(name)
	var g run.Group
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return k.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error {
		select {
		case <-p.(Job).Done():
		case <-ctx.Done():
		}
		return nil
	}, func(error) { cancel() })
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	return p, g.Run()
}
