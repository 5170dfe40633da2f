package inbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "inbound",
		Needs: []string{"peer", "announce", "idempotency"},
		// Calls in flight may make calls of their own, so outbound stops later.
		After: []string{"pressure", "outbound", "session", "lineage", "view", "cost", dialect.Name},
		Settings: func() any {
			return &Settings{
				QueuePerSlot: 2, NodeIdle: settings.Duration(2 * time.Minute),
				UpstreamIdle: settings.Duration(4 * time.Second), DialTimeout: settings.Duration(time.Second),
				SilenceTimeout:  settings.Duration(10 * time.Second),
				HandoverTimeout: settings.Duration(10 * time.Second), Ordering: settings.SwitchAuto,
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newInbound(c), nil },
	})
}

// maxBufferBytes bounds BufferBytes, and thus the memory that one call uses.
const maxBufferBytes = 4 << 20

// Settings configures the plug-in.
type Settings struct {
	// Listen is the IP:port at which this node receives calls from other nodes; if it is
	// empty, the node receives none.
	Listen string `json:"listen"`
	// QueuePerSlot bounds the queue of each organisation, in calls per slot of the upstream.
	QueuePerSlot int `json:"queue_per_slot"`
	// LinkMbps is the bandwidth of the link of this machine in megabits per second. It limits the
	// request bodies of routes with large bodies that are received at the same time; 0 means that
	// the bandwidth is unknown, and sets no limit.
	LinkMbps float64 `json:"link_mbps"`
	// NodeIdle is the time after which idle connections from other nodes are closed. It must
	// be well above the client_idle of the other nodes, so that they don't reuse a connection that
	// is being closed.
	NodeIdle settings.Duration `json:"node_idle"`
	// UpstreamIdle is the idle time after which connections to the upstream are not reused.
	// It must be below the upstream's own idle timeout.
	UpstreamIdle settings.Duration `json:"upstream_idle"`
	// DialTimeout bounds the time to connect to the upstream.
	DialTimeout settings.Duration `json:"dial_timeout"`
	// SilenceTimeout is the time without a response from the upstream's TCP stack after which
	// a connection to it fails.
	SilenceTimeout settings.Duration `json:"silence_timeout"`
	// BufferBytes is the length in bytes up to which an answer is read completely before any
	// of it is passed on, so that a truncated answer can still be replaced by an error; 0
	// passes answers on at once.
	BufferBytes int `json:"buffer_bytes"`
	// HandoverTimeout bounds the time to hand claims over to other nodes on a planned stop.
	HandoverTimeout settings.Duration `json:"handover_timeout"`
	// Ordering is auto, on or off. It turns on the order of service by calling team, the precedence of nested calls and
	// the refusal of requests whose nested calls would fail. With auto, they are on if the configuration has calling
	// teams or the upstream states its slowdown.
	Ordering settings.Switch `json:"ordering"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.ValidateOptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	if err := settings.ValidateSwitch("ordering", s.Ordering); err != nil {
		return err
	}
	switch {
	case s.QueuePerSlot < 1 || s.QueuePerSlot > 64:
		return settings.FieldErrorf("queue_per_slot", "%d is outside 1..64", s.QueuePerSlot)
	case s.LinkMbps < 0:
		return settings.FieldErrorf("link_mbps", "must not be negative")
	case s.NodeIdle.AsDuration() < 90*time.Second:
		return settings.FieldErrorf("node_idle", "must be at least 90s, as other nodes use connections for up to 1m")
	case s.UpstreamIdle <= 0:
		return settings.FieldErrorf("upstream_idle", "must be positive")
	case s.DialTimeout <= 0:
		return settings.FieldErrorf("dial_timeout", "must be positive")
	case s.SilenceTimeout <= 0:
		return settings.FieldErrorf("silence_timeout", "must be positive")
	case s.BufferBytes < 0 || s.BufferBytes > maxBufferBytes:
		return settings.FieldErrorf("buffer_bytes", "%d is outside 0..%d", s.BufferBytes, maxBufferBytes)
	case s.HandoverTimeout <= 0:
		return settings.FieldErrorf("handover_timeout", "must be positive")
	}
	return nil
}
