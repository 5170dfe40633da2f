package quota

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "quota",
		Needs: []string{"peer", "quorum", "catalog", "discovery"},
		Settings: func() any {
			return &Settings{
				Lease: ms(8000), Window: ms(5000), SilentAfter: ms(500), ReportInterval: ms(100), ReportTimeout: ms(250),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newQuota(c), nil },
	})
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Settings configures the plug-in.
type Settings struct {
	// Lease is how long what a node holds of a calling team's rate limit is valid without contact. It covers an
	// instance that is paused for 7 s.
	Lease settings.Duration `json:"lease"`
	// SilentAfter is the time without contact after which the rate that a node may use by itself is reserved. It must
	// be above twice the limiter's refill, so that a node in contact never counts as silent.
	SilentAfter settings.Duration `json:"silent_after"`
	// Window is the length of the windows in which a team may exceed its limit by Overshoot, relative to the limit, and by Slack
	// requests. If Overshoot is set, part of each limit belongs to the instances without a decision of the leader.
	Window    settings.Duration `json:"window"`
	Overshoot float64           `json:"overshoot"`
	Slack     float64           `json:"slack"`
	// ReportInterval is the interval of the reports to the leader while the demand of teams changes.
	ReportInterval settings.Duration `json:"report_interval"`
	// ReportTimeout bounds the wait for the leader's answer to a report, and thus that of requests that need tokens
	// of another instance.
	ReportTimeout settings.Duration `json:"report_timeout"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.SilentAfter < ms(200) || s.SilentAfter > ms(5000):
		return settings.FieldErrorf("silent_after", "must be in 200ms..5s")
	case s.Lease < 2*s.SilentAfter || s.Lease > ms(60_000):
		return settings.FieldErrorf("lease", "must be at least twice silent_after and at most 60s")
	case s.Window < ms(1000) || s.Window > ms(60_000):
		return settings.FieldErrorf("window", "must be in 1s..60s")
	case !(s.Overshoot >= 0 && s.Overshoot <= 1) || !(s.Slack >= 0 && s.Slack <= 1e6):
		return settings.FieldErrorf("overshoot", "must be in 0..1, and slack in 0..1e6")
	case s.ReportInterval < ms(20) || s.ReportInterval > ms(1000):
		return settings.FieldErrorf("report_interval", "must be in 20ms..1s")
	case s.ReportTimeout < ms(20) || s.ReportTimeout > ms(1000):
		return settings.FieldErrorf("report_timeout", "must be in 20ms..1s")
	}
	return nil
}
