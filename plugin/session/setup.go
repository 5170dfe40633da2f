package session

import (
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "session",
		Needs: []string{"peer", "view"},
		After: []string{"admin", "trace"},
		Settings: func() any {
			return &Settings{
				Services: []string{peerapi.AllServices}, PingInterval: ms(2000), PingTimeout: ms(3000),
				HomeRetry: ms(30000),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newSession(c), nil },
	})
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Settings configures the plug-in.
type Settings struct {
	// Services lists the services whose routes and endpoints the node receives; "*" means
	// all services.
	Services []string `json:"services"`
	// PingInterval is the time between heartbeats.
	PingInterval settings.Duration `json:"ping_interval"`
	// PingTimeout is the time without an answer to a heartbeat after which the connection is
	// closed.
	PingTimeout settings.Duration `json:"ping_timeout"`
	// HomeRetry is the mean pause between attempts to return from an instance in another zone to
	// one in the node's own zone; each pause is random, from 0.5 to 1.5 times this value.
	HomeRetry settings.Duration `json:"home_retry"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case len(s.Services) == 0:
		return settings.FieldErrorf("services", "must name a service or \"*\"")
	case s.PingInterval <= 0:
		return settings.FieldErrorf("ping_interval", "must be positive")
	case s.PingTimeout <= 0:
		return settings.FieldErrorf("ping_timeout", "must be positive")
	case s.HomeRetry <= 0:
		return settings.FieldErrorf("home_retry", "must be positive")
	}
	return nil
}
