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
		After: []string{"pressure", "session", "lineage", "cost", "callers", "limiter", dialect.Name},
		Settings: func() any {
			return &Settings{
				Workers: 256, Queue: 256,
				ClientIdle: settings.Duration(30 * time.Second), CallerIdle: settings.Duration(2 * time.Minute),
				DialTimeout: settings.Duration(time.Second), SilenceTimeout: settings.Duration(10 * time.Second), MaxIdleConnsPerEndpoint: 16,
				ConvergeWithin: settings.Duration(3 * time.Second),
				WaitShare:      0.5, RetryAllowance: defaultMinRetries, RetryWindow: settings.Duration(defaultRetryWindow),
				Ordering: settings.SwitchAuto,
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newOutbound(c), nil },
	})
}

// maxBufferBytes bounds BufferBytes, and thus the memory that one call uses.
const maxBufferBytes = 4 << 20

// Settings configures the plug-in.
type Settings struct {
	// Listen is the IP:port on which this node accepts calls; if it is empty, the node accepts none.
	Listen string `json:"listen"`
	// Workers is the maximum number of calls in progress.
	Workers int `json:"workers"`
	// Queue is the maximum number of calls that wait for a worker. Further calls are refused.
	Queue int `json:"queue"`
	// ClientIdle is how long an idle connection to another node may be reused. It must be
	// well below the idle timeout of that node's listener.
	ClientIdle settings.Duration `json:"client_idle"`
	// CallerIdle is how long idle connections of callers are kept open.
	CallerIdle settings.Duration `json:"caller_idle"`
	// DialTimeout bounds the time to open a connection to another node.
	DialTimeout settings.Duration `json:"dial_timeout"`
	// SilenceTimeout is how long the kernel of another node may leave sent data
	// unacknowledged before the connection to it fails.
	SilenceTimeout settings.Duration `json:"silence_timeout"`
	// Service is the service whose upstream this node serves. Upstreams receive it as the caller
	// of the calls that this node dispatches. It may change while the process runs.
	Service string `json:"service"`
	// ConvergeWithin is the time within which an accepted change must be in force on this node. A call without a
	// route is answered with 503 instead of 404 if the configuration was not confirmed for longer.
	ConvergeWithin settings.Duration `json:"converge_within"`
	// WaitShare is the fraction of a route's target that a call of the lowest priority may
	// spend in the queues of endpoints.
	WaitShare float64 `json:"wait_share"`
	// BufferBytes is the length in bytes up to which a response is read completely before any of
	// it is sent to the caller, so that the call can be retried if the response is truncated; 0
	// disables buffering.
	BufferBytes int `json:"buffer_bytes"`
	// RetryRatio is the number of retries per call that the whole fleet may make to one cluster in
	// each RetryWindow. With 0, each node limits its retries by the cluster's retry percentage
	// instead, and RetryAllowance and RetryWindow have no effect.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryAllowance is the number of retries that the whole fleet may make to one cluster in each
	// RetryWindow in addition to those that RetryRatio permits.
	RetryAllowance float64 `json:"retry_allowance"`
	// RetryWindow is the length of the sliding window over which calls and retries are counted.
	RetryWindow settings.Duration `json:"retry_window"`
	// MaxIdleConnsPerEndpoint is the maximum number of idle connections to one endpoint
	// that are kept open for reuse.
	MaxIdleConnsPerEndpoint int `json:"max_idle"`
	// Ordering is auto, on or off. It turns on the order of service by calling team and the precedence of nested calls.
	// With auto, they are on for a service if the configuration has calling teams or upstreams of the service state
	// their slowdown.
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
	case s.Workers < 1 || s.Workers > 4096:
		return settings.FieldErrorf("workers", "%d is outside 1..4096", s.Workers)
	case s.Queue < 1 || s.Queue > 1<<16:
		return settings.FieldErrorf("queue", "%d is outside 1..65536", s.Queue)
	case s.ClientIdle <= 0 || s.ClientIdle.AsDuration() > time.Minute:
		return settings.FieldErrorf("client_idle", "must be above 0 and at most 1m")
	case s.CallerIdle <= 0:
		return settings.FieldErrorf("caller_idle", "must be positive")
	case s.DialTimeout <= 0:
		return settings.FieldErrorf("dial_timeout", "must be positive")
	case s.SilenceTimeout <= 0:
		return settings.FieldErrorf("silence_timeout", "must be positive")
	case s.ConvergeWithin <= 0:
		return settings.FieldErrorf("converge_within", "must be positive")
	case s.WaitShare < 0 || s.WaitShare > 10:
		return settings.FieldErrorf("wait_share", "%v is outside 0..10", s.WaitShare)
	case s.BufferBytes < 0 || s.BufferBytes > maxBufferBytes:
		return settings.FieldErrorf("buffer_bytes", "%d is outside 0..%d", s.BufferBytes, maxBufferBytes)
	case s.RetryRatio < 0 || s.RetryRatio > 1 || s.RetryAllowance < 0 || s.RetryWindow.AsDuration() < time.Second:
		return settings.FieldErrorf("retry_ratio", "the ratio must be in 0..1, retry_allowance not negative and retry_window at least 1s")
	case s.MaxIdleConnsPerEndpoint < 1:
		return settings.FieldErrorf("max_idle", "%d is below 1", s.MaxIdleConnsPerEndpoint)
	}
	return nil
}
