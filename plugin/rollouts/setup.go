package rollouts

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "rollouts",
		Needs: []string{"quorum", "peer", "catalog"},
		Settings: func() any {
			return &Settings{ExposureShare: 0.1, ExposureSlack: 50, Rollback: settings.Duration(5 * time.Second)}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newRollouts(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// ExposureShare is the share of the requests of a service that a version may get before it is found to be good.
	ExposureShare float64 `json:"exposure_share"`
	// ExposureSlack is the number of requests that such a version may get in addition to ExposureShare.
	ExposureSlack float64 `json:"exposure_slack"`
	// Rollback is the time after the evidence against a version within which no request is sent to it any more, also by nodes
	// that have lost their control instance.
	Rollback settings.Duration `json:"rollback"`
}

// minRollback is the least Rollback: permits then expire within two pings.
const minRollback = time.Second

// Parts of Rollback after which permits expire: since a quorum last confirmed the leader that gave them, since the report that a
// permit answers was sent to the leader, and since the node sent the ping that was answered with it. The remaining third is
// for the detection.
const leaderPart, relayPart, nodePart = 0.2, 0.14, 0.3

// leaderMaxAge is the time since a quorum last confirmed the leader after which it gives no permits.
func (s *Settings) leaderMaxAge() time.Duration { return s.part(leaderPart) }

// permitMaxAge is the age from which an instance no longer passes a permit on.
func (s *Settings) permitMaxAge() time.Duration { return s.part(relayPart) }

// permitLifetime is how long a node uses a permit.
func (s *Settings) permitLifetime() time.Duration { return s.part(nodePart) }

func (s *Settings) part(of float64) time.Duration { return time.Duration(of * float64(s.Rollback)) }

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.ExposureShare <= 0 || s.ExposureShare > 1:
		return settings.FieldErrorf("exposure_share", "%v is not above 0 and at most 1", s.ExposureShare)
	case s.ExposureSlack < 0 || s.ExposureSlack > 1e9:
		return settings.FieldErrorf("exposure_slack", "%v is outside 0..1e9", s.ExposureSlack)
	case s.Rollback.AsDuration() < minRollback:
		return settings.FieldErrorf("rollback", "must be at least %v, in which permits expire everywhere", minRollback)
	}
	return nil
}
