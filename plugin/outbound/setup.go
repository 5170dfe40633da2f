package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/dialect"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "outbound",
		Needs: []string{"peer", "view"},
		After: []string{"session", dialect.Name},
		Settings: func() any {
			return &Settings{
				Workers: 256, Queue: 256,
				ClientIdle: settings.Duration(30 * time.Second), CallerIdle: settings.Duration(2 * time.Minute),
				DialTimeout: settings.Duration(time.Second), SilenceTimeout: settings.Duration(10 * time.Second), MaxIdle: 16,
				WaitShare: 0.5, RetryAllowance: budgetLeast, RetryWindow: settings.Duration(budgetWindow),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newOutbound(c), nil },
	})
}

// maxBuffer bounds the memory of one call.
const maxBuffer = 4 << 20

// Settings configures the plug-in.
type Settings struct {
	// Listen is IP:port for callers.
	Listen string `json:"listen"`
	// Workers bounds the calls in progress, Queue those that wait for a worker.
	Workers int `json:"workers"`
	Queue   int `json:"queue"`
	// ClientIdle is the age at which idle connections to other nodes are not used
	// any more; it must be well below the idle timeout of their listeners.
	ClientIdle settings.Duration `json:"client_idle"`
	// CallerIdle is how long idle connections of callers are kept.
	CallerIdle  settings.Duration `json:"caller_idle"`
	DialTimeout settings.Duration `json:"dial_timeout"`
	// SilenceTimeout is the time without a sign of another node's kernel after which
	// a connection to it fails.
	SilenceTimeout settings.Duration `json:"silence_timeout"`
	// Service is the service of the upstream beside the node. Upstreams are told
	// that calls come from it.
	Service string `json:"service"`
	// WaitShare is the part of a route's target that a call may spend in the queues
	// of endpoints.
	WaitShare float64 `json:"wait_share"`
	// BufferBytes is the length up to which an answer is read as a whole before any
	// of it is passed on, so that a cut one can be replaced; 0 passes on at once.
	BufferBytes int `json:"buffer_bytes"`
	// RetryRatio and RetryAllowance bound the retries of the whole fleet at one
	// service in each RetryWindow: RetryRatio for each call, and RetryAllowance
	// besides. A ratio of 0 leaves it to the cluster's percentage, for each node.
	RetryRatio     float64           `json:"retry_ratio"`
	RetryAllowance float64           `json:"retry_allowance"`
	RetryWindow    settings.Duration `json:"retry_window"`
	// MaxIdle bounds the idle connections to one endpoint.
	MaxIdle int `json:"max_idle"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.OptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	switch {
	case s.Workers < 1 || s.Workers > 4096:
		return settings.Invalid("workers", "%d is outside 1..4096", s.Workers)
	case s.Queue < 1 || s.Queue > 1<<16:
		return settings.Invalid("queue", "%d is outside 1..65536", s.Queue)
	case s.ClientIdle <= 0 || s.ClientIdle.D() > time.Minute:
		return settings.Invalid("client_idle", "must be above 0 and at most 1m")
	case s.CallerIdle <= 0:
		return settings.Invalid("caller_idle", "must be positive")
	case s.DialTimeout <= 0:
		return settings.Invalid("dial_timeout", "must be positive")
	case s.SilenceTimeout <= 0:
		return settings.Invalid("silence_timeout", "must be positive")
	case s.WaitShare < 0 || s.WaitShare > 10:
		return settings.Invalid("wait_share", "%v is outside 0..10", s.WaitShare)
	case s.BufferBytes < 0 || s.BufferBytes > maxBuffer:
		return settings.Invalid("buffer_bytes", "%d is outside 0..%d", s.BufferBytes, maxBuffer)
	case s.RetryRatio < 0 || s.RetryRatio > 1 || s.RetryAllowance < 0 || s.RetryWindow.D() < time.Second:
		return settings.Invalid("retry_ratio", "the ratio must be in 0..1, the allowance not negative, the window at least 1s")
	case s.MaxIdle < 1:
		return settings.Invalid("max_idle", "%d is below 1", s.MaxIdle)
	}
	return nil
}
