package standin

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "standin",
		Settings: func() any { return defaultSettings() },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newStandin(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Service is the name of the service that the stand-in announces.
	Service string `json:"service"`
	// Listen is the IP:port of the listener for calls, health and load.
	Listen string `json:"listen"`
	// Report is the IP:port of the listener for GET /executions; empty turns it off.
	Report string `json:"report"`
	// Node is the IP:port to which the stand-in sends its announcements; empty turns announcements
	// off.
	Node string `json:"node"`
	// AnnounceInterval is the pause between two announcements. Announcements are repeated so that a
	// restarted node receives one.
	AnnounceInterval settings.Duration `json:"announce_interval"`
	// Slots is the maximum number of calls executed at the same time.
	Slots int `json:"slots"`
	// Queue is the maximum number of calls that wait for a slot; further calls are
	// answered with status 503.
	Queue int `json:"queue"`
	// ServiceTime is the random time for which each call holds its slot.
	ServiceTime ServiceTime `json:"service_time"`
	// ColdStart makes the stand-in slow, and not ready, after its start.
	ColdStart ColdStart `json:"cold_start"`
	// Health sets the health that the stand-in reports.
	Health Health `json:"health"`
	// Load sets the load that the stand-in reports.
	Load Load `json:"load"`
	// Faults lists the faults to inject, each into its percentage of the calls.
	Faults []FaultShare `json:"faults"`
	// Chain sets the next call that the stand-in makes for a call with a depth above 0.
	Chain Chain `json:"chain"`
	// AnswerBytes is the size of an answer, in bytes, if the call does not request a size.
	AnswerBytes int `json:"answer_bytes"`
	// MaxExecutions is the maximum number of call IDs whose executions are counted separately.
	// Executions of calls with further IDs are counted in "total" and "unlisted" only.
	MaxExecutions int `json:"max_executions"`
}

// ServiceTime is a distribution of service times.
type ServiceTime struct {
	// Distribution is constant, uniform (0.5 to 1.5 times the mean), exponential or lognormal
	// (sigma 1).
	Distribution string `json:"distribution"`
	// Mean is the mean of the distribution.
	Mean settings.Duration `json:"mean"`
}

// ColdStart configures the behaviour after the start.
type ColdStart struct {
	// NotReady is how long the health endpoint answers with status 503 after the start.
	NotReady settings.Duration `json:"not_ready"`
	// Slow is how long calls take longer than their service time after the start.
	Slow settings.Duration `json:"slow"`
	// Factor multiplies the service time right after the start; during Slow the multiplier falls
	// linearly to 1.
	Factor float64 `json:"factor"`
}

// Health configures the health endpoint, GET /healthz.
type Health struct {
	// Lag is the minimum age of the reported health; 0 reports the current health.
	Lag settings.Duration `json:"lag"`
	// Lie fixes the reported health to "ok" or "failing"; empty reports the actual health.
	Lie string `json:"lie"`
}

// Load configures the load endpoint, GET /load, and the response header endpoint-load-metrics.
type Load struct {
	// Header adds the header to the answers.
	Header bool `json:"header"`
	// Lag is the minimum age of the reported utilisation; 0 reports the current utilisation.
	Lag settings.Duration `json:"lag"`
	// Lies makes the stand-in report Lie as its utilisation instead of the actual value.
	Lies bool `json:"lies"`
	// Lie is the utilisation to report if Lies is set; 1 means as many calls as slots.
	Lie float64 `json:"lie"`
}

// FaultShare is a fault and the percentage of calls into which it is injected.
type FaultShare struct {
	// Percent is the percentage of calls into which the fault is injected.
	Percent float64 `json:"percent"`
	// Fault describes the fault, in the format of the header X-Call-Fault.
	Fault string `json:"fault"`
}

// Chain configures the next call that the stand-in makes for a call with a depth above 0.
type Chain struct {
	// Node is the IP:port of the listener for callers of the stand-in's node.
	Node string `json:"node"`
	// Host is the host of the next call, which selects its service.
	Host string `json:"host"`
	// Path is the path of the next call.
	Path string `json:"path"`
	// Direct is the IP:port of the next stand-in. It replaces Node for calls with the header
	// X-Call-Direct, so that experiments can compare calls with and without nodes.
	Direct string `json:"direct"`
	// Timeout is the time limit of the next call, including the rest of the chain.
	Timeout settings.Duration `json:"timeout"`
}

func defaultSettings() *Settings {
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
		if err := settings.ValidateAddress(field, a); err != nil {
			return err
		}
	}
	switch {
	case s.Service == "":
		return settings.FieldErrorf("service", "must not be empty")
	case s.AnnounceInterval <= 0:
		return settings.FieldErrorf("announce_interval", "must be positive")
	case s.Slots < 1 || s.Slots > 4096:
		return settings.FieldErrorf("slots", "%d is outside 1..4096", s.Slots)
	case s.Queue < 0 || s.Queue > 1<<16:
		return settings.FieldErrorf("queue", "%d is outside 0..65536", s.Queue)
	case s.MaxExecutions < 1:
		return settings.FieldErrorf("max_executions", "%d is below 1", s.MaxExecutions)
	case s.ColdStart.Factor < 1:
		return settings.FieldErrorf("cold_start/factor", "%g is below 1", s.ColdStart.Factor)
	case s.Health.Lie != "" && s.Health.Lie != "ok" && s.Health.Lie != "failing":
		return settings.FieldErrorf("health/lie", `%q is neither "ok" nor "failing"`, s.Health.Lie)
	}
	return s.validateChoices()
}

func (s *Settings) validateChoices() error {
	switch s.ServiceTime.Distribution {
	case "constant", "uniform", "exponential", "lognormal":
	default:
		return settings.FieldErrorf("service_time/distribution", "%q is unknown", s.ServiceTime.Distribution)
	}
	for i, f := range s.Faults {
		if _, err := ParseFault(f.Fault); err != nil {
			return settings.FieldErrorf(fieldPath("faults", i, "fault"), "%v", err)
		}
		if f.Percent < 0 || f.Percent > 100 {
			return settings.FieldErrorf(fieldPath("faults", i, "percent"), "%g is outside 0..100", f.Percent)
		}
	}
	return nil
}
