package callers

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "callers",
		Needs:    []string{"view"},
		After:    []string{"session"},
		Settings: func() any { return &Settings{RevokeWithin: settings.Duration(5 * time.Second)} },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newCallers(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// RevokeWithin is the time after which a withdrawn API key must not be accepted any more, also by a node without contact
	// to control. It has an effect only with RevokeStrict.
	RevokeWithin settings.Duration `json:"revoke_within"`
	// RevokeStrict makes the node refuse requests with API keys if its configuration was not confirmed within
	// RevokeWithin. Otherwise it continues with the keys that it has.
	RevokeStrict bool `json:"revoke_strict"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.RevokeWithin <= 0 {
		return settings.FieldErrorf("revoke_within", "must be positive")
	}
	return nil
}
