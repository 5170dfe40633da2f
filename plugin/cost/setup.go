package cost

import (
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "cost",
		Settings: func() any { return &Settings{Routing: settings.SwitchAuto} },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newCost(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Routing is auto, on or off. It turns on the choice of endpoints by the expected work of a call and the work that each
	// endpoint still has to do. With auto, it is on for a service if the configuration has calling teams or upstreams
	// of the service state their slowdown.
	Routing settings.Switch `json:"routing"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error { return settings.ValidateSwitch("routing", s.Routing) }
