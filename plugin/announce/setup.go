package announce

import (
	"net/netip"
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "announce",
		Needs: []string{"session"},
		After: []string{"trace"},
		Settings: func() any {
			return &Settings{
				ProbeInterval: ms(1000), ProbeTimeout: ms(500), Rise: 1, Fall: 3,
				MaxUnready: ms(30000), Linger: ms(2000), CallTimeout: ms(2000), RetryInterval: ms(500),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newAnnounce(c), nil },
	})
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Upstream describes the upstream beside the node, in the settings or in a
// request to the local listener.
type Upstream struct {
	// Service is the name of the service that the upstream belongs to.
	Service string `json:"service"`
	// Address is IP:port of the upstream.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream handles at once.
	Slots int `json:"slots"`
	// HealthPath is probed with GET; empty means that the upstream is ready as
	// soon as it is announced.
	HealthPath string `json:"health_path"`
}

// check returns the first error of the description as field and reason.
func (u *Upstream) check() (field, reason string) {
	if u.Service == "" || len(u.Service) > 253 {
		return "service", "must have 1 to 253 bytes"
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return "address", "is not IP:port"
	}
	if u.Slots < 1 || u.Slots > 1<<16 {
		return "slots", "is outside 1..65536"
	}
	if u.HealthPath != "" && u.HealthPath[0] != '/' {
		return "health_path", "must begin with /"
	}
	return "", ""
}

// Settings configures the plug-in.
type Settings struct {
	// Listen is IP:port of the local HTTP listener for the upstream; empty turns it off.
	Listen string `json:"listen"`
	// Address is IP:port at which other nodes reach this node's inbound listener.
	Address string `json:"address"`
	// Upstream is announced at the start; leave Service empty for none.
	Upstream Upstream `json:"upstream"`
	// ProbeInterval and ProbeTimeout time the probes of the health path.
	ProbeInterval settings.Duration `json:"probe_interval"`
	ProbeTimeout  settings.Duration `json:"probe_timeout"`
	// Rise successes in a row make the upstream ready; Fall refused connections in
	// a row make it unready. Late and negative answers weigh a third of that.
	Rise int `json:"rise"`
	Fall int `json:"fall"`
	// MaxUnready bounds how long an upstream that accepts connections is held back
	// by its health path; afterwards calls decide.
	MaxUnready settings.Duration `json:"max_unready"`
	// ReportTimeout is the silence after which an upstream that reports itself is
	// taken out of the endpoints; 0 for upstreams that do not.
	ReportTimeout settings.Duration `json:"report_timeout"`
	// LeaveDelay is the time for which the upstream of a node that stops still takes
	// new calls, while the node's own callers move away. It must end so early that the
	// calls in flight end before the process does.
	LeaveDelay settings.Duration `json:"leave_delay"`
	// Linger is the time in which calls on their way still arrive after the
	// upstream was announced as draining.
	Linger settings.Duration `json:"linger"`
	// CallTimeout bounds the wait for the confirmation of an announcement and
	// RetryInterval is the pause after a failed one.
	CallTimeout   settings.Duration `json:"call_timeout"`
	RetryInterval settings.Duration `json:"retry_interval"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.OptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	if err := settings.OptionalAddress("address", s.Address); err != nil {
		return err
	}
	if s.Upstream != (Upstream{}) {
		if field, reason := s.Upstream.check(); field != "" {
			return settings.Invalid("upstream/"+field, "%s", reason)
		}
	}
	switch {
	case s.Address == "" && (s.Listen != "" || s.Upstream.Service != ""):
		return settings.Invalid("address", "must be set for a node with an upstream")
	case s.ProbeInterval <= 0 || s.ProbeTimeout <= 0:
		return settings.Invalid("probe_interval", "probe_interval and probe_timeout must be positive")
	case s.Rise < 1 || s.Fall < 1:
		return settings.Invalid("rise", "rise and fall must be at least 1")
	case s.LeaveDelay < 0 || s.Linger < 0:
		return settings.Invalid("leave_delay", "leave_delay and linger must not be negative")
	case s.CallTimeout <= 0 || s.RetryInterval <= 0:
		return settings.Invalid("call_timeout", "call_timeout and retry_interval must be positive")
	}
	return nil
}
