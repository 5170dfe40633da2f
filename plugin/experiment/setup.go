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

// maxNodes bounds the nodes of one experiment, so that it stays well under half
// of the memory of the machine.
const maxNodes = 400

// Settings configures the scenarios. They are part of the result.
type Settings struct {
	// Scenarios names the scenarios to run, in order.
	Scenarios []string `json:"scenarios"`
	// Seed makes choices repeatable.
	Seed uint64 `json:"seed"`
	// Nodes lists the sizes of the fleet.
	Nodes []int `json:"nodes"`
	// Changes is the number of measured changes in each case.
	Changes int `json:"changes"`
	// Missed is the number of changes that a returning process has missed.
	Missed int `json:"missed"`
	// Duration is the time of each load or idle case.
	Duration settings.Duration `json:"duration"`
	// Rates lists the calls a second of the latency scenario, Depth the length of
	// its chain of calls.
	Rates []float64 `json:"rates"`
	Depth int       `json:"depth"`
	// Overload lists the loads of the overload scenario in multiples of the slots;
	// 0 runs the other organisation alone.
	Overload []float64 `json:"overload"`
	// Folder takes temporary files; empty means the system's folder for them.
	Folder string `json:"folder"`
	// Coalesce lists the settings of distribution/coalesce that are compared; the
	// first is the baseline.
	Coalesce []settings.Duration `json:"coalesce"`
}

// Programs lists the plug-ins of the kernels that an experiment runs. The
// package of the program's role sets it in an init function.
var Programs Plugins

// Plugins lists plug-ins by program.
type Plugins struct {
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
		if find(n) == nil {
			return settings.Invalid(fmt.Sprintf("scenarios/%d", i), "%q is unknown; known are %v", n, Names())
		}
	}
	for i, n := range s.Nodes {
		if n < 1 || n > maxNodes {
			return settings.Invalid(fmt.Sprintf("nodes/%d", i), "%d is outside 1..%d", n, maxNodes)
		}
	}
	switch {
	case len(s.Scenarios) == 0:
		return settings.Invalid("scenarios", "must not be empty")
	case len(s.Nodes) == 0:
		return settings.Invalid("nodes", "must not be empty")
	case s.Changes < 1 || s.Changes > 10_000:
		return settings.Invalid("changes", "%d is outside 1..10000", s.Changes)
	case s.Missed < 1 || s.Missed > 10_000:
		return settings.Invalid("missed", "%d is outside 1..10000", s.Missed)
	case s.Duration <= 0:
		return settings.Invalid("duration", "must be positive")
	case s.Depth < 1 || s.Depth > 18:
		return settings.Invalid("depth", "%d is outside 1..18", s.Depth)
	case len(s.Coalesce) == 0:
		return settings.Invalid("coalesce", "must not be empty")
	}
	return nil
}
