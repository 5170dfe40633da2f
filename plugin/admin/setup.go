package admin

import (
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "admin",
		After:    []string{"pressure"},
		Settings: func() any { return &Settings{} },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newAdmin(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Listen is the IP:port of the listener for metrics, health and readiness; empty turns it off.
	Listen string `json:"listen"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	return settings.ValidateOptionalAddress("listen", s.Listen)
}
