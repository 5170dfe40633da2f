package discovery

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "discovery",
		Needs: []string{"peer"},
		After: []string{"trace", "closures", "rollouts"},
		Settings: func() any {
			return &Settings{
				Window: ms(20), Grace: ms(5000), Heartbeat: ms(1000), PeerTimeout: ms(4000),
				SpreadTimeout: ms(1000), SettleTimeout: ms(5000), TombstoneTTL: settings.Duration(2 * time.Hour),
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newDiscovery(c), nil },
	})
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// Settings configures the plug-in.
type Settings struct {
	// Window is the time during which changes are collected before they are sent.
	// Withdrawals and changes to the draining state are sent immediately.
	Window settings.Duration `json:"window"`
	// Grace is the time between the end of a node's session and the expiry of its lease.
	Grace settings.Duration `json:"grace"`
	// Heartbeat is the time without a message to another control instance after which an empty
	// message is sent to it.
	Heartbeat settings.Duration `json:"heartbeat"`
	// PeerTimeout is the time without a message from another control instance after which
	// its records are marked stale.
	PeerTimeout settings.Duration `json:"peer_timeout"`
	// SpreadTimeout is the longest time for which the reply to an upstream that drains or
	// withdraws is delayed until the other instances have confirmed the change.
	SpreadTimeout settings.Duration `json:"spread_timeout"`
	// SettleTimeout is the longest time after the start for which the instance waits for the
	// records of all other instances. During this time, nodes keep the endpoint sets that they
	// hold.
	SettleTimeout settings.Duration `json:"settle_timeout"`
	// TombstoneTTL is how long withdrawn and lost records are kept. It must exceed the
	// duration of network partitions between regions, which can last one hour.
	TombstoneTTL settings.Duration `json:"tombstone_ttl"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.Heartbeat <= 0:
		return settings.FieldErrorf("heartbeat", "must be positive")
	case s.PeerTimeout < 2*s.Heartbeat:
		return settings.FieldErrorf("peer_timeout", "must be at least twice heartbeat")
	case s.Grace <= 0:
		return settings.FieldErrorf("grace", "must be positive")
	case s.TombstoneTTL <= s.Grace:
		return settings.FieldErrorf("tombstone_ttl", "must exceed grace")
	}
	return nil
}
