package capacity

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "capacity",
		Needs:    []string{"peer", "discovery"},
		Settings: func() any { return &Settings{Exchange: settings.Duration(500 * time.Millisecond)} },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newCapacity(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Exchange is the interval at which an instance sends the reports of its attached nodes to
	// the other control instances.
	Exchange settings.Duration `json:"exchange"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.Exchange < settings.Duration(50*time.Millisecond) || s.Exchange >= settings.Duration(maxReportAge) {
		return settings.FieldErrorf("exchange", "must be at least 50ms and below %v", maxReportAge)
	}
	return nil
}
