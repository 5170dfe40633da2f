package distribution

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "distribution",
		Needs: []string{"peer", "quorum", "catalog", "discovery", "capacity"},
		After: []string{"admin", "trace"},
		Settings: func() any {
			return &Settings{
				NodeTimeout: ms(5000), BarrierTimeout: ms(1000), BarrierRetry: ms(500), AckTimeout: ms(30000),
				ResumeRate: 500, ResumeBurst: 100, IsolatedAfter: ms(5000),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newDistribution(c), nil },
	})
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Settings configures the plug-in.
type Settings struct {
	// Coalesce is the time for which changes are collected into one update. Zero gives the
	// shortest convergence time; higher values save bytes.
	Coalesce settings.Duration `json:"coalesce"`
	// NodeTimeout is the time without a message from a node after which its session is closed.
	NodeTimeout settings.Duration `json:"node_timeout"`
	// BarrierTimeout is the timeout of a linearizable read for nodes without state, and
	// BarrierRetry is the pause after a failed one.
	BarrierTimeout settings.Duration `json:"barrier_timeout"`
	BarrierRetry   settings.Duration `json:"barrier_retry"`
	// AckTimeout is the time within which a node must acknowledge an update before its session
	// is closed, and the pause before a rejected full set is sent again.
	AckTimeout settings.Duration `json:"ack_timeout"`
	// ResumeRate and ResumeBurst limit the first updates of sessions, in sessions per second
	// and in sessions, so that a mass reconnect does not fill the worker pool.
	ResumeRate  float64 `json:"resume_rate"`
	ResumeBurst int     `json:"resume_burst"`
	// IsolatedAfter is the time without contact to the quorum after which the instance tells
	// its nodes to look for another instance.
	IsolatedAfter settings.Duration `json:"isolated_after"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.NodeTimeout <= 0:
		return settings.FieldErrorf("node_timeout", "must be positive")
	case s.BarrierTimeout <= 0:
		return settings.FieldErrorf("barrier_timeout", "must be positive")
	case s.BarrierRetry <= 0:
		return settings.FieldErrorf("barrier_retry", "must be positive")
	case s.AckTimeout <= 0:
		return settings.FieldErrorf("ack_timeout", "must be positive")
	case s.IsolatedAfter <= 0:
		return settings.FieldErrorf("isolated_after", "must be positive")
	case s.ResumeRate <= 0:
		return settings.FieldErrorf("resume_rate", "must be positive")
	case s.ResumeBurst < 1:
		return settings.FieldErrorf("resume_burst", "%d is below 1", s.ResumeBurst)
	}
	return nil
}
