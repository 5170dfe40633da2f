package limiter

import (
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/session"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "limiter",
		Needs: []string{"session", "view"},
		Settings: func() any {
			return &Settings{MaxWait: ms(1000), UnknownWait: ms(200), ReplyLimit: ms(400), Refill: ms(200), AskSpacing: ms(10), MinDemand: 0.05}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) {
			s := kernel.MustFind[*session.Session](c, "session")
			l := newLimiter(c, c.Settings.(*Settings), s)
			s.OnAttach(func(*resource.Announcement) { l.announce() })
			kernel.MustFind[api.View](c, "view").Watch(l.applySnapshot)
			return l, nil
		},
	})
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Settings configures the plug-in.
type Settings struct {
	// MaxWait bounds the time for which a request of a team with a rate limit waits for a token. In operation the wait is
	// one exchange with a control instance.
	MaxWait settings.Duration `json:"max_wait"`
	// UnknownWait bounds it while no control instance can tell whether the team is at its limit.
	UnknownWait settings.Duration `json:"unknown_wait"`
	// ReplyLimit is the time after which the answer of a control instance is ignored.
	ReplyLimit settings.Duration `json:"reply_limit"`
	// Refill is the interval at which tokens are fetched while there is demand.
	Refill settings.Duration `json:"refill"`
	// AskSpacing is the shortest time between two requests to the control instance. Where it is above 50 ms, a node holds more
	// tokens in advance.
	AskSpacing settings.Duration `json:"ask_spacing"`
	// MinDemand is the demand in requests per second below which a node holds no tokens of a team and asks for each of
	// its requests. Where the requests of many small teams are spread over all nodes, tokens in advance would lie at nodes
	// that do not use them.
	MinDemand float64 `json:"min_demand"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.MaxWait < ms(10) || s.MaxWait > ms(10_000):
		return settings.FieldErrorf("max_wait", "must be in 10ms..10s")
	case s.UnknownWait < ms(10) || s.UnknownWait > s.MaxWait:
		return settings.FieldErrorf("unknown_wait", "must be at least 10ms and at most max_wait")
	case s.ReplyLimit < ms(20) || s.ReplyLimit > ms(2000):
		return settings.FieldErrorf("reply_limit", "must be in 20ms..2s")
	case s.AskSpacing < ms(1) || s.AskSpacing > s.Refill:
		return settings.FieldErrorf("ask_spacing", "must be at least 1ms and at most refill")
	case !(s.MinDemand > 0 && s.MinDemand <= 100):
		return settings.FieldErrorf("min_demand", "must be above 0 and at most 100")
	case s.Refill < ms(20) || s.Refill > ms(1000):
		return settings.FieldErrorf("refill", "must be in 20ms..1s")
	}
	return nil
}
