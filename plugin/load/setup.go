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
		Settings: func() any { return defaultSettings() },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newLoad(c), nil },
	})
}

// maxCalls bounds the calls of one run and so the size of its ledger.
const maxCalls = 2_000_000

// Settings configures a run. It is part of the result.
type Settings struct {
	// Run is the prefix of all call IDs; if it is empty, it is derived from the start time.
	Run string `json:"run"`
	// Nodes lists the IP:port of each node's listener for callers.
	Nodes []string `json:"nodes"`
	// Reports lists the IP:port of each stand-in's listener for GET /executions.
	Reports []string `json:"reports"`
	// MaxMissingReports is the number of reports of the stand-ins in Reports that may be missing at
	// the end of the run; the run fails if more are missing.
	MaxMissingReports int `json:"may_be_lost"`
	// Organisations lists the organisations for which calls are made. The rate is divided between them
	// by weight.
	Organisations []Organisation `json:"organisations"`
	// Rate is the number of calls per second of all callers together.
	Rate float64 `json:"rate"`
	// Duration is the time during which calls arrive.
	Duration settings.Duration `json:"duration"`
	// Callers is the number of independent callers. The gaps between the calls of one caller have an
	// exponential distribution.
	Callers int `json:"callers"`
	// MaxInFlight is the maximum number of calls in flight, and also the maximum number of calls that
	// wait for one of those to end. Further calls are not sent and fail the run, because the generator
	// itself is overloaded.
	MaxInFlight int `json:"max_in_flight"`
	// Seed is the seed of the random numbers; the same seed and settings plan the same calls.
	Seed uint64 `json:"seed"`
	// Mix sets the shares of the kinds of calls.
	Mix Mix `json:"mix"`
	// AnswerBytes is the size of each answer in bytes.
	AnswerBytes int `json:"answer_bytes"`
	// Depth is the number of further calls that the stand-ins chain behind each call.
	Depth int `json:"depth"`
	// Direct makes the stand-ins call each other directly instead of through nodes; see
	// standin.Chain.
	Direct bool `json:"direct"`
	// Timeout is the time limit of each attempt.
	Timeout settings.Duration `json:"timeout"`
	// DropPercent is the percentage of calls with an Idempotency-Key whose first attempt is abandoned
	// after a random time. Such calls are then retried through the next node.
	DropPercent float64 `json:"drop_percent"`
	// DropWithin is the maximum time after which a first attempt selected by DropPercent is
	// abandoned.
	DropWithin settings.Duration `json:"drop_within"`
	// Repeats is the maximum number of retries of a call with an Idempotency-Key.
	Repeats int `json:"repeats"`
	// RepeatPause is the pause before each retry.
	RepeatPause settings.Duration `json:"repeat_pause"`
	// MaxFailedPercent is the percentage of failed calls above which the run fails.
	MaxFailedPercent float64 `json:"max_failed_percent"`
	// Settle is the pause between the last call and the collection of the reports.
	Settle settings.Duration `json:"settle"`
}

// Organisation configures the calls made for one organisation.
type Organisation struct {
	// Name is the name under which the result groups the calls.
	Name string `json:"name"`
	// Host is the host name in the Host header of each request.
	Host string `json:"host"`
	// Path is the path of each request.
	Path string `json:"path"`
	// Weight is the share of the calls, relative to the weights of the other organisations.
	Weight float64 `json:"weight"`
	// Nodes restricts the calls to some of the run's nodes, given by their position from 0; empty
	// allows all.
	Nodes []int `json:"nodes,omitempty"`
}

// Mix holds the relative weights of the kinds of calls.
type Mix struct {
	// Get is the weight of GET calls, which are idempotent.
	Get float64 `json:"get"`
	// Post is the weight of POST calls without an Idempotency-Key, which must be executed at most
	// once.
	Post float64 `json:"post"`
	// Keyed is the weight of POST calls with an Idempotency-Key.
	Keyed float64 `json:"keyed"`
}

func defaultSettings() *Settings {
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
			if err := settings.ValidateAddress(fmt.Sprintf("%s/%d", field, i), a); err != nil {
				return err
			}
		}
	}
	switch n := s.Rate * s.Duration.AsDuration().Seconds(); {
	case len(s.Nodes) == 0:
		return settings.FieldErrorf("nodes", "must not be empty")
	case len(s.Organisations) == 0:
		return settings.FieldErrorf("organisations", "must not be empty")
	case s.Rate <= 0 || s.Duration <= 0:
		return settings.FieldErrorf("rate", "rate and duration must be positive")
	case n > maxCalls:
		return settings.FieldErrorf("duration", "%.0f calls exceed the limit of %d", n, maxCalls)
	case s.Callers < 1 || s.Callers > 256:
		return settings.FieldErrorf("callers", "%d is outside 1..256", s.Callers)
	case s.MaxInFlight < 1 || s.MaxInFlight > 1<<16:
		return settings.FieldErrorf("max_in_flight", "%d is outside 1..65536", s.MaxInFlight)
	case s.Timeout <= 0:
		return settings.FieldErrorf("timeout", "must be positive")
	case s.Depth < 0 || s.Depth > answer.MaxDepth:
		return settings.FieldErrorf("depth", "%d is outside 0..%d", s.Depth, answer.MaxDepth)
	case s.AnswerBytes < 0 || s.AnswerBytes > answer.MaxBytes:
		return settings.FieldErrorf("answer_bytes", "%d is outside 0..%d", s.AnswerBytes, answer.MaxBytes)
	case s.Repeats < 0 || s.Repeats > 100:
		return settings.FieldErrorf("repeats", "%d is outside 0..100", s.Repeats)
	case s.Mix.Get < 0 || s.Mix.Post < 0 || s.Mix.Keyed < 0 || s.Mix.Get+s.Mix.Post+s.Mix.Keyed <= 0:
		return settings.FieldErrorf("mix", "weights must not be negative, and at least one must be positive")
	}
	return s.validateOrganisations()
}

func (s *Settings) validateOrganisations() error {
	for i, o := range s.Organisations {
		if o.Weight <= 0 {
			return settings.FieldErrorf(fmt.Sprintf("organisations/%d/weight", i), "must be positive")
		}
		for j, n := range o.Nodes {
			if n < 0 || n >= len(s.Nodes) {
				return settings.FieldErrorf(fmt.Sprintf("organisations/%d/nodes/%d", i, j), "%d is outside 0..%d", n, len(s.Nodes)-1)
			}
		}
	}
	return nil
}
