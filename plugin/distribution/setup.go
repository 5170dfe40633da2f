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
		After: []string{"admin", "trace", "rollouts"},
		Settings: func() any {
			return &Settings{
				NodeTimeout: ms(5000), BarrierTimeout: ms(1000), BarrierRetryDelay: ms(500), AckTimeout: ms(30000),
				ResumeRate: 500, ResumeBurst: 100, IsolatedAfter: ms(5000), ConvergeWithin: ms(3000),
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
	// BarrierTimeout is the timeout of the linearizable read that precedes the first update of
	// nodes without state.
	BarrierTimeout settings.Duration `json:"barrier_timeout"`
	// BarrierRetryDelay is the pause between a failed linearizable read and the next one.
	BarrierRetryDelay settings.Duration `json:"barrier_retry"`
	// AckTimeout is the time after which a session is closed if its node has not acknowledged an
	// update. A full set that the node rejected is sent again after the same time.
	AckTimeout settings.Duration `json:"ack_timeout"`
	// ResumeRate is the maximum number of sessions per second that are sent their first update,
	// so that a mass reconnect does not fill the worker pool.
	ResumeRate float64 `json:"resume_rate"`
	// ResumeBurst is the number of sessions that are sent their first update at once before
	// ResumeRate limits them.
	ResumeBurst int `json:"resume_burst"`
	// IsolatedAfter is the time without contact to the quorum after which the instance tells
	// its nodes to look for another instance.
	IsolatedAfter settings.Duration `json:"isolated_after"`
	// ConvergeWithin is the time within which an accepted change must be in force on all nodes. An
	// instance whose disk takes more than a quarter of it for a write tells its nodes to look for
	// another instance.
	ConvergeWithin settings.Duration `json:"converge_within"`
}

// MaxWriteTime returns the longest time that a write to the disk may take. Up to three writes precede the
// release of a version: the one in progress, the log entry, and the released version.
func (s *Settings) MaxWriteTime() time.Duration { return s.ConvergeWithin.AsDuration() / 4 }

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.NodeTimeout <= 0:
		return settings.FieldErrorf("node_timeout", "must be positive")
	case s.BarrierTimeout <= 0:
		return settings.FieldErrorf("barrier_timeout", "must be positive")
	case s.BarrierRetryDelay <= 0:
		return settings.FieldErrorf("barrier_retry", "must be positive")
	case s.AckTimeout <= 0:
		return settings.FieldErrorf("ack_timeout", "must be positive")
	case s.IsolatedAfter <= 0:
		return settings.FieldErrorf("isolated_after", "must be positive")
	case s.ConvergeWithin <= 0:
		return settings.FieldErrorf("converge_within", "must be positive")
	case s.ResumeRate <= 0:
		return settings.FieldErrorf("resume_rate", "must be positive")
	case s.ResumeBurst < 1:
		return settings.FieldErrorf("resume_burst", "%d is below 1", s.ResumeBurst)
	}
	return nil
}
