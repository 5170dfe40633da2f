// Package experiment measures the system. Each scenario runs control instances, nodes and stand-ins
// as kernels inside this process, connected by real sockets, and reports figures with their targets.
package experiment

import (
	"context"
	"fmt"
	"os"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
)

var (
	evScenarioStarted  = event.Declare(960, zerolog.InfoLevel, "scenario has started")
	evScenarioFinished = event.Declare(961, zerolog.InfoLevel, "scenario has finished")
	evScenarioFailed   = event.Declare(962, zerolog.ErrorLevel, "scenario could not be measured")
)

// scenario is a named measurement that can run on its own.
type scenario struct {
	name string
	run  func(e *env) error
}

var scenarios []scenario

// registerScenario adds a scenario. It may be called only from init functions.
func registerScenario(name string, run func(e *env) error) {
	scenarios = append(scenarios, scenario{name, run})
	sort.Slice(scenarios, func(i, j int) bool { return scenarios[i].name < scenarios[j].name })
}

// ScenarioNames returns the sorted names of all scenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

func findScenario(name string) *scenario {
	for i := range scenarios {
		if scenarios[i].name == name {
			return &scenarios[i]
		}
	}
	return nil
}

// Experiment is the plug-in that runs the configured scenarios once after Start.
type Experiment struct {
	c      *kernel.Context
	s      *Settings
	cancel context.CancelFunc
	done   chan struct{}
	result Result // written before done is closed
}

func newExperiment(c *kernel.Context) *Experiment {
	return &Experiment{c: c, s: c.Settings.(*Settings), done: make(chan struct{})}
}

// Start implements kernel.Plugin.
func (x *Experiment) Start(ctx context.Context) error {
	ctx, x.cancel = context.WithCancel(ctx)
	go x.runScenarios(ctx)
	return nil
}

// Stop implements kernel.Plugin.
func (x *Experiment) Stop(ctx context.Context) error {
	x.cancel()
	select {
	case <-x.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done returns a channel that is closed when the result is complete.
func (x *Experiment) Done() <-chan struct{} { return x.done }

// Result returns the result. It must be called only after the channel of Done is closed.
func (x *Experiment) Result() *Result { return &x.result }

// runScenarios runs the scenarios one after another.
func (x *Experiment) runScenarios(ctx context.Context) {
	defer close(x.done)
	x.result = Result{Settings: *x.s, Rows: []Row{}, Errors: []string{}, OK: true}
	for _, name := range x.s.Scenarios {
		x.c.Log.Log(evScenarioStarted).Str("scenario", name).Send()
		if err := x.runScenario(ctx, findScenario(name)); err != nil {
			x.c.Log.Log(evScenarioFailed).Str("scenario", name).Err(err).Send()
			x.result.Errors = append(x.result.Errors, fmt.Sprintf("%s: %v", name, err))
			x.result.OK = false
			continue
		}
		x.c.Log.Log(evScenarioFinished).Str("scenario", name).Send()
	}
	for i := range x.result.Rows {
		x.result.OK = x.result.OK && x.result.Rows[i].IsWithinLimit()
	}
}

// runScenario runs one scenario in a temporary folder of its own and adds its rows to the result.
func (x *Experiment) runScenario(ctx context.Context, s *scenario) error {
	dir, err := os.MkdirTemp(x.s.Folder, "celeryyard-experiment-")
	if err != nil {
		return errors.Wrap(err, "create the temporary folder of the experiment")
	}
	defer os.RemoveAll(dir)
	e := &env{ctx: ctx, s: x.s, scenario: s.name, dir: dir, log: os.Stderr}
	err = s.run(e)
	x.result.Rows = append(x.result.Rows, e.rows...)
	return err
}
