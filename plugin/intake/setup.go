package intake

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name: "intake",
		Settings: func() any {
			return &Settings{
				MaxBytes: resource.MaxConfigurationBytes, MaxWaiting: 64, MaxWait: settings.Duration(time.Second), BodyTimeout: settings.Duration(3 * time.Second),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newIntake(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// MaxBytes is the sum of the sizes of the operators' changes that this instance holds at the same time. Each takes
	// up to ten times its size in memory until it is decided. A longer change is held alone.
	MaxBytes int64 `json:"max_bytes"`
	// MaxWaiting is the number of changes that wait for others to be decided. Further ones get status 503.
	MaxWaiting int `json:"max_waiting"`
	// MaxWait is how long a change waits before its body is read. After this time it gets status 503.
	MaxWait settings.Duration `json:"max_wait"`
	// BodyTimeout is how long an operator may take to send the body of a change. It gets status 408 after that.
	BodyTimeout settings.Duration `json:"body_timeout"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.MaxBytes < 1 || s.MaxWaiting < 1 {
		return settings.FieldErrorf("max_bytes", "max_bytes and max_waiting must be positive")
	}
	if s.MaxWait <= 0 || s.BodyTimeout <= 0 {
		return settings.FieldErrorf("max_wait", "max_wait and body_timeout must be positive")
	}
	return nil
}
