package experiment

import (
	"fmt"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "experiment",
		Settings: func() any { return defaults() },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newExperiment(c), nil },
	})
}

// maxNodes is the maximum number of nodes in one fleet; the settings reject more. It keeps the memory
// use well under half of the machine's memory.
const maxNodes = 400

// Settings configures the scenarios. It is part of the result.
type Settings struct {
	// Scenarios lists the names of the scenarios to run, in this order.
	Scenarios []string `json:"scenarios"`
	// Seed is the seed of all random choices. Runs with the same seed make the same choices.
	Seed uint64 `json:"seed"`
	// Nodes lists the fleet sizes, in nodes, that the scenarios convergence, control-bytes and
	// node-cost measure one after another. The scenario node-cost needs at least two sizes.
	Nodes []int `json:"nodes"`
	// Changes is the number of configuration changes that are measured in each case.
	Changes int `json:"changes"`
	// Missed is the number of configuration changes that are made while a process is stopped or
	// disconnected. The scenarios then measure the time or traffic until the process is current again.
	Missed int `json:"missed"`
	// Duration is the measuring time of each case that runs under load or idle.
	Duration settings.Duration `json:"duration"`
	// Rates lists the call rates of the scenario added-latency, in calls per second.
	Rates []float64 `json:"rates"`
	// Depth is the number of further calls in each chain of the scenario added-latency.
	Depth int `json:"depth"`
	// Overload lists the heavy loads of the scenario overload, in multiples of the call rate that
	// fills all slots of the service. With 0 only the organisation with the light load makes calls.
	Overload []float64 `json:"overload"`
	// Folder is the path of the folder for temporary files. If it is empty, the system's default
	// folder is used.
	Folder string `json:"folder"`
	// Coalesce lists the values of the setting distribution/coalesce that the scenarios
	// convergence and control-bytes compare. The first one is the baseline.
	Coalesce []settings.Duration `json:"coalesce"`
}

// ProgramPlugins lists the plug-ins of the kernels that an experiment runs. The package role/load
// sets it in an init function.
var ProgramPlugins PluginsByProgram

// PluginsByProgram lists the plug-ins of each program.
type PluginsByProgram struct {
	Control, Node, Upstream, Load []string
}

func defaults() *Settings {
	return &Settings{
		Seed: 1, Nodes: []int{9, 60}, Changes: 50, Missed: 300, Duration: settings.Duration(5 * time.Second),
		Rates: []float64{100, 1000}, Depth: 18,
		Overload: []float64{0, 0.5, 1, 2, 4},
		Coalesce: []settings.Duration{0, settings.Duration(50 * time.Millisecond)},
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	for i, n := range s.Scenarios {
		if findScenario(n) == nil {
			return settings.FieldErrorf(fmt.Sprintf("scenarios/%d", i), "%q is unknown; the known scenarios are %v", n, ScenarioNames())
		}
	}
	for i, n := range s.Nodes {
		if n < 1 || n > maxNodes {
			return settings.FieldErrorf(fmt.Sprintf("nodes/%d", i), "%d is outside 1..%d", n, maxNodes)
		}
	}
	switch {
	case len(s.Scenarios) == 0:
		return settings.FieldErrorf("scenarios", "must not be empty")
	case len(s.Nodes) == 0:
		return settings.FieldErrorf("nodes", "must not be empty")
	case s.Changes < 1 || s.Changes > 10_000:
		return settings.FieldErrorf("changes", "%d is outside 1..10000", s.Changes)
	case s.Missed < 1 || s.Missed > 10_000:
		return settings.FieldErrorf("missed", "%d is outside 1..10000", s.Missed)
	case s.Duration <= 0:
		return settings.FieldErrorf("duration", "must be positive")
	case s.Depth < 1 || s.Depth > 18:
		return settings.FieldErrorf("depth", "%d is outside 1..18", s.Depth)
	case len(s.Coalesce) == 0:
		return settings.FieldErrorf("coalesce", "must not be empty")
	}
	return nil
}
