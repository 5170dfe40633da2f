package load

import (
	"fmt"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/standin/answer"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "load",
		Settings: func() any { return defaults() },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newLoad(c), nil },
	})
}

// maxRequests bounds the ledger of one run.
const maxRequests = 2_000_000

// Settings configures a run. They are part of its result.
type Settings struct {
	// Run is the prefix of all call IDs; empty takes the time of the start.
	Run string `json:"run"`
	// Nodes lists IP:port of the nodes' listeners for callers.
	Nodes []string `json:"nodes"`
	// Reports lists IP:port of the stand-ins' listeners for GET /executions.
	Reports []string `json:"reports"`
	// MayBeLost allows that many of Reports to be unreachable at the end.
	MayBeLost int `json:"may_be_lost"`
	// Organisations share the rate by their weights.
	Organisations []Organisation `json:"organisations"`
	// Rate is the number of calls a second of all callers together.
	Rate float64 `json:"rate"`
	// Duration is the time over which calls arrive.
	Duration settings.Duration `json:"duration"`
	// Callers is the number of independent sources with exponential gaps.
	Callers int `json:"callers"`
	// MaxInFlight bounds the calls under way; arrivals beyond it are not sent and
	// fail the run, because they are the generator's own overload.
	MaxInFlight int `json:"max_in_flight"`
	// Seed makes arrivals and choices repeatable.
	Seed uint64 `json:"seed"`
	Mix  Mix    `json:"mix"`
	// AnswerBytes is the size of each answer, Depth the length of the chain of
	// calls behind each call.
	AnswerBytes int `json:"answer_bytes"`
	Depth       int `json:"depth"`
	// Direct asks for a chain of calls without nodes; see standin.Chain.
	Direct bool `json:"direct"`
	// Timeout bounds one attempt.
	Timeout settings.Duration `json:"timeout"`
	// DropPercent of the calls with an Idempotency-Key drop their first answer,
	// after at most DropWithin, and repeat the call through another node.
	DropPercent float64           `json:"drop_percent"`
	DropWithin  settings.Duration `json:"drop_within"`
	// Repeats bounds the repeats of a call with an Idempotency-Key; RepeatPause is
	// the pause before each.
	Repeats     int               `json:"repeats"`
	RepeatPause settings.Duration `json:"repeat_pause"`
	// MaxFailedPercent bounds the calls without a success; beyond it the run fails.
	MaxFailedPercent float64 `json:"max_failed_percent"`
	// Settle is the pause before the executions are counted.
	Settle settings.Duration `json:"settle"`
}

// Organisation is one source of calls.
type Organisation struct {
	// Name is the organisation that the calls are counted for.
	Name string `json:"name"`
	// Host and Path go into each request.
	Host   string  `json:"host"`
	Path   string  `json:"path"`
	Weight float64 `json:"weight"`
	// Nodes limits the organisation to these of the run's nodes, by position;
	// empty allows all.
	Nodes []int `json:"nodes,omitempty"`
}

// Mix is the share of each kind of call in percent.
type Mix struct {
	// Get calls are idempotent by their method.
	Get float64 `json:"get"`
	// Post calls have no key and must be executed at most once.
	Post float64 `json:"post"`
	// Keyed calls are POST with an Idempotency-Key.
	Keyed float64 `json:"keyed"`
}

func defaults() *Settings {
	return &Settings{
		Rate: 100, Duration: settings.Duration(10 * time.Second), Callers: 4, MaxInFlight: 1024, Seed: 1,
		Mix: Mix{Get: 70, Post: 20, Keyed: 10}, AnswerBytes: 512, Timeout: settings.Duration(5 * time.Second),
		DropPercent: 20, DropWithin: settings.Duration(10 * time.Millisecond), Repeats: 4,
		RepeatPause: settings.Duration(100 * time.Millisecond), MaxFailedPercent: 100,
		Settle: settings.Duration(500 * time.Millisecond),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	for field, list := range map[string][]string{"nodes": s.Nodes, "reports": s.Reports} {
		for i, a := range list {
			if err := settings.Address(fmt.Sprintf("%s/%d", field, i), a); err != nil {
				return err
			}
		}
	}
	switch n := s.Rate * s.Duration.D().Seconds(); {
	case len(s.Nodes) == 0:
		return settings.Invalid("nodes", "must not be empty")
	case len(s.Organisations) == 0:
		return settings.Invalid("organisations", "must not be empty")
	case s.Rate <= 0 || s.Duration <= 0:
		return settings.Invalid("rate", "rate and duration must be positive")
	case n > maxRequests:
		return settings.Invalid("duration", "%.0f calls exceed the limit of %d", n, maxRequests)
	case s.Callers < 1 || s.Callers > 256:
		return settings.Invalid("callers", "%d is outside 1..256", s.Callers)
	case s.MaxInFlight < 1 || s.MaxInFlight > 1<<16:
		return settings.Invalid("max_in_flight", "%d is outside 1..65536", s.MaxInFlight)
	case s.Timeout <= 0:
		return settings.Invalid("timeout", "must be positive")
	case s.Depth < 0 || s.Depth > answer.MaxDepth:
		return settings.Invalid("depth", "%d is outside 0..%d", s.Depth, answer.MaxDepth)
	case s.AnswerBytes < 0 || s.AnswerBytes > answer.MaxBytes:
		return settings.Invalid("answer_bytes", "%d is outside 0..%d", s.AnswerBytes, answer.MaxBytes)
	case s.Repeats < 0 || s.Repeats > 100:
		return settings.Invalid("repeats", "%d is outside 0..100", s.Repeats)
	case s.Mix.Get < 0 || s.Mix.Post < 0 || s.Mix.Keyed < 0 || s.Mix.Get+s.Mix.Post+s.Mix.Keyed <= 0:
		return settings.Invalid("mix", "shares must not be negative and not all be zero")
	}
	return s.validateOrganisations()
}

func (s *Settings) validateOrganisations() error {
	for i, o := range s.Organisations {
		if o.Weight <= 0 {
			return settings.Invalid(fmt.Sprintf("organisations/%d/weight", i), "must be positive")
		}
		for j, n := range o.Nodes {
			if n < 0 || n >= len(s.Nodes) {
				return settings.Invalid(fmt.Sprintf("organisations/%d/nodes/%d", i, j), "%d is outside 0..%d", n, len(s.Nodes)-1)
			}
		}
	}
	return nil
}
