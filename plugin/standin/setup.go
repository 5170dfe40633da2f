package standin

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "standin",
		Settings: func() any { return defaults() },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newStandin(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Service is the service that the stand-in announces.
	Service string `json:"service"`
	// Listen is IP:port for calls, health and load.
	Listen string `json:"listen"`
	// Report is IP:port of the listener for GET /executions; empty turns it off.
	Report string `json:"report"`
	// Node is IP:port at which the node beside the stand-in takes announcements;
	// empty announces nothing.
	Node string `json:"node"`
	// AnnounceInterval is the pause between two announcements; the repetition lets
	// a restarted node learn of the stand-in.
	AnnounceInterval settings.Duration `json:"announce_interval"`
	// Slots is the number of calls executed at a time.
	Slots int `json:"slots"`
	// Queue is the number of calls that wait for a slot; more are shed with 503.
	Queue int `json:"queue"`
	// ServiceTime is the time that a call holds its slot.
	ServiceTime ServiceTime `json:"service_time"`
	// ColdStart makes the stand-in slow, and not ready, after its start.
	ColdStart ColdStart `json:"cold_start"`
	Health    Health    `json:"health"`
	Load      Load      `json:"load"`
	// Faults are injected into that share of all calls.
	Faults []FaultShare `json:"faults"`
	Chain  Chain        `json:"chain"`
	// AnswerBytes is the size of an answer when the call asks for none.
	AnswerBytes int `json:"answer_bytes"`
	// MaxExecutions bounds the counted call IDs; calls beyond it are counted in
	// total only.
	MaxExecutions int `json:"max_executions"`
}

// ServiceTime is a distribution of times.
type ServiceTime struct {
	// Distribution is constant, uniform (0.5 to 1.5 of the mean), exponential or
	// lognormal (sigma 1).
	Distribution string            `json:"distribution"`
	Mean         settings.Duration `json:"mean"`
}

// ColdStart describes the time after the start.
type ColdStart struct {
	// NotReady is how long the health endpoint answers 503.
	NotReady settings.Duration `json:"not_ready"`
	// Slow is how long calls take longer: by Factor at first, by 1 at the end.
	Slow   settings.Duration `json:"slow"`
	Factor float64           `json:"factor"`
}

// Health describes the health endpoint, GET /healthz.
type Health struct {
	// Lag is how long the endpoint keeps an answer before it looks again.
	Lag settings.Duration `json:"lag"`
	// Lie fixes the answer: "ok" or "failing"; empty answers the truth.
	Lie string `json:"lie"`
}

// Load describes the load endpoint, GET /load, and the header
// endpoint-load-metrics.
type Load struct {
	// Header turns the header on.
	Header bool `json:"header"`
	// Lag is how long a value is kept before the load is read again.
	Lag settings.Duration `json:"lag"`
	// Lie fixes the reported utilisation when Lies is true.
	Lies bool    `json:"lies"`
	Lie  float64 `json:"lie"`
}

// FaultShare is a fault and the percentage of calls that get it.
type FaultShare struct {
	// Percent is the share of requests that get the fault.
	Percent float64 `json:"percent"`
	// Fault is the text of a fault, as in the header X-Call-Fault.
	Fault string `json:"fault"`
}

// Chain says whom the stand-in calls for a call with a depth.
type Chain struct {
	// Node is IP:port of the listener for callers of the node beside the stand-in.
	Node string `json:"node"`
	// Host and Path go into the request for the next service.
	Host string `json:"host"`
	Path string `json:"path"`
	// Direct is IP:port of another stand-in, called instead of Node for calls with
	// the header X-Call-Direct; experiments compare the two ways.
	Direct string `json:"direct"`
	// Timeout bounds the call.
	Timeout settings.Duration `json:"timeout"`
}

func defaults() *Settings {
	return &Settings{
		AnnounceInterval: settings.Duration(time.Second), Slots: 9, Queue: 64, AnswerBytes: 512, MaxExecutions: 1 << 20,
		ServiceTime: ServiceTime{Distribution: "exponential", Mean: settings.Duration(5 * time.Millisecond)},
		ColdStart:   ColdStart{Factor: 1},
		Load:        Load{Header: true},
		Chain:       Chain{Path: "/", Timeout: settings.Duration(5 * time.Second)},
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	for field, a := range map[string]string{"listen": s.Listen, "report": s.Report, "node": s.Node, "chain/node": s.Chain.Node, "chain/direct": s.Chain.Direct} {
		if a == "" && field != "listen" {
			continue
		}
		if err := settings.Address(field, a); err != nil {
			return err
		}
	}
	switch {
	case s.Service == "":
		return settings.Invalid("service", "must not be empty")
	case s.AnnounceInterval <= 0:
		return settings.Invalid("announce_interval", "must be positive")
	case s.Slots < 1 || s.Slots > 4096:
		return settings.Invalid("slots", "%d is outside 1..4096", s.Slots)
	case s.Queue < 0 || s.Queue > 1<<16:
		return settings.Invalid("queue", "%d is outside 0..65536", s.Queue)
	case s.MaxExecutions < 1:
		return settings.Invalid("max_executions", "%d is below 1", s.MaxExecutions)
	case s.ColdStart.Factor < 1:
		return settings.Invalid("cold_start/factor", "%g is below 1", s.ColdStart.Factor)
	case s.Health.Lie != "" && s.Health.Lie != "ok" && s.Health.Lie != "failing":
		return settings.Invalid("health/lie", `%q is neither "ok" nor "failing"`, s.Health.Lie)
	}
	return s.validateChoices()
}

func (s *Settings) validateChoices() error {
	switch s.ServiceTime.Distribution {
	case "constant", "uniform", "exponential", "lognormal":
	default:
		return settings.Invalid("service_time/distribution", "%q is unknown", s.ServiceTime.Distribution)
	}
	for i, f := range s.Faults {
		if _, err := ParseFault(f.Fault); err != nil {
			return settings.Invalid(fieldAt("faults", i, "fault"), "%v", err)
		}
		if f.Percent < 0 || f.Percent > 100 {
			return settings.Invalid(fieldAt("faults", i, "percent"), "%g is outside 0..100", f.Percent)
		}
	}
	return nil
}
