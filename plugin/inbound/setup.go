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
		After: []string{"outbound", "session", dialect.Name},
		Settings: func() any {
			return &Settings{
				QueuePerSlot: 2, NodeIdle: settings.Duration(2 * time.Minute),
				UpstreamIdle: settings.Duration(4 * time.Second), DialTimeout: settings.Duration(time.Second),
				SilenceTimeout:  settings.Duration(10 * time.Second),
				HandoverTimeout: settings.Duration(10 * time.Second),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newInbound(c), nil },
	})
}

// maxBuffer bounds the memory of one call.
const maxBuffer = 4 << 20

// Settings configures the plug-in.
type Settings struct {
	// Listen is IP:port for other nodes.
	Listen string `json:"listen"`
	// QueuePerSlot bounds the queue of each organisation in calls for each slot.
	QueuePerSlot int `json:"queue_per_slot"`
	// NodeIdle is how long idle connections of other nodes are kept. It must be
	// well above their client_idle.
	NodeIdle settings.Duration `json:"node_idle"`
	// UpstreamIdle is the age at which idle connections to the upstream are not
	// used any more; it must be below the upstream's own idle timeout.
	UpstreamIdle settings.Duration `json:"upstream_idle"`
	DialTimeout  settings.Duration `json:"dial_timeout"`
	// SilenceTimeout is the time without a sign of the upstream's kernel after which
	// a connection to it fails.
	SilenceTimeout settings.Duration `json:"silence_timeout"`
	// BufferBytes is the length up to which an answer is read as a whole before any
	// of it is passed on, so that a cut one can be replaced; 0 passes on at once.
	BufferBytes int `json:"buffer_bytes"`
	// HandoverTimeout bounds the handover of claims on a planned stop.
	HandoverTimeout settings.Duration `json:"handover_timeout"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.OptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	switch {
	case s.QueuePerSlot < 1 || s.QueuePerSlot > 64:
		return settings.Invalid("queue_per_slot", "%d is outside 1..64", s.QueuePerSlot)
	case s.NodeIdle.D() < 90*time.Second:
		return settings.Invalid("node_idle", "must be at least 90s, as other nodes use connections for up to 1m")
	case s.UpstreamIdle <= 0:
		return settings.Invalid("upstream_idle", "must be positive")
	case s.DialTimeout <= 0:
		return settings.Invalid("dial_timeout", "must be positive")
	case s.SilenceTimeout <= 0:
		return settings.Invalid("silence_timeout", "must be positive")
	case s.BufferBytes < 0 || s.BufferBytes > maxBuffer:
		return settings.Invalid("buffer_bytes", "%d is outside 0..%d", s.BufferBytes, maxBuffer)
	case s.HandoverTimeout <= 0:
		return settings.Invalid("handover_timeout", "must be positive")
	}
	return nil
}
