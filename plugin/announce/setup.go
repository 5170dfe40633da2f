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
		After: []string{"pressure", "trace", "view"},
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

// Upstream describes the upstream beside the node, in the settings or in a request to the local
// listener.
type Upstream struct {
	// Service is the name of the service that the upstream belongs to.
	Service string `json:"service"`
	// Address is the IP:port of the upstream.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream handles concurrently.
	Slots int `json:"slots"`
	// Version is the version of the upstream's software, for roll-outs; may be empty.
	Version string `json:"version"`
	// HealthPath is the path that is probed with GET; if it is empty, the upstream is ready
	// as soon as it is announced.
	HealthPath string `json:"health_path"`
}

// maxVersionBytes bounds the version of an upstream.
const maxVersionBytes = 256

// validate returns the first invalid field and the reason; both are empty for a valid description.
func (u *Upstream) validate() (field, reason string) {
	if u.Service == "" || len(u.Service) > 253 {
		return "service", "must have 1 to 253 bytes"
	}
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return "address", "is not IP:port"
	}
	if u.Slots < 1 || u.Slots > 1<<16 {
		return "slots", "is outside 1..65536"
	}
	if len(u.Version) > maxVersionBytes {
		return "version", "is longer than 256 bytes"
	}
	if u.HealthPath != "" && u.HealthPath[0] != '/' {
		return "health_path", "must begin with /"
	}
	return "", ""
}

// Settings configures the plug-in.
type Settings struct {
	// Listen is the IP:port of the local HTTP listener for the upstream; empty disables it.
	Listen string `json:"listen"`
	// Address is the IP:port at which other nodes reach this node's inbound listener.
	Address string `json:"address"`
	// Upstream is the upstream that is announced at the start; an empty service means none.
	Upstream Upstream `json:"upstream"`
	// ProbeInterval is the pause between two probes of the health path.
	ProbeInterval settings.Duration `json:"probe_interval"`
	// ProbeTimeout is the time without a response after which a probe fails.
	ProbeTimeout settings.Duration `json:"probe_timeout"`
	// Rise is the number of successful probes in a row that make the upstream ready. It is
	// multiplied by up to 8 for an upstream that changes its state repeatedly.
	Rise int `json:"rise"`
	// Fall is the number of refused connections in a row that make the upstream unready; three
	// late or negative responses count as one refused connection.
	Fall int `json:"fall"`
	// MaxUnready is the longest time for which an upstream that accepts connections stays unready
	// because of its health path. After that time it is announced as ready, and nodes judge it by
	// the results of their calls.
	MaxUnready settings.Duration `json:"max_unready"`
	// ReportTimeout is the time without a heartbeat after which an upstream that sends heartbeats
	// is no longer announced as ready; 0 disables the check, for upstreams without heartbeats.
	ReportTimeout settings.Duration `json:"report_timeout"`
	// LeaveDelay is the time during which the upstream of a stopping node still accepts new
	// calls, while the node's own callers move to other nodes. It must be short enough that the
	// calls in flight finish before the process exits.
	LeaveDelay settings.Duration `json:"leave_delay"`
	// Linger is how long the node still accepts calls once the announcement of the upstream as
	// draining is confirmed or has timed out. Calls that are already on their way arrive in this
	// time.
	Linger settings.Duration `json:"linger"`
	// CallTimeout is the longest wait for the confirmation of an announcement. After it, the
	// announcement is sent again, and a planned stop continues without the confirmation.
	CallTimeout settings.Duration `json:"call_timeout"`
	// RetryInterval is the pause between a failed announcement and the next one.
	RetryInterval settings.Duration `json:"retry_interval"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.ValidateOptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	if err := settings.ValidateOptionalAddress("address", s.Address); err != nil {
		return err
	}
	if s.Upstream != (Upstream{}) {
		if field, reason := s.Upstream.validate(); field != "" {
			return settings.FieldErrorf("upstream/"+field, "%s", reason)
		}
	}
	switch {
	case s.Address == "" && (s.Listen != "" || s.Upstream.Service != ""):
		return settings.FieldErrorf("address", "must be set for a node with an upstream")
	case s.ProbeInterval <= 0 || s.ProbeTimeout <= 0:
		return settings.FieldErrorf("probe_interval", "probe_interval and probe_timeout must be positive")
	case s.Rise < 1 || s.Fall < 1:
		return settings.FieldErrorf("rise", "rise and fall must be at least 1")
	case s.LeaveDelay < 0 || s.Linger < 0:
		return settings.FieldErrorf("leave_delay", "leave_delay and linger must not be negative")
	case s.CallTimeout <= 0 || s.RetryInterval <= 0:
		return settings.FieldErrorf("call_timeout", "call_timeout and retry_interval must be positive")
	}
	return nil
}
