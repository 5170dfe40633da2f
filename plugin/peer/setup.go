package peer

import (
	"time"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name: "peer",
		Settings: func() any {
			return &Settings{
				MinBackoff: settings.Duration(50 * time.Millisecond),
				MaxBackoff: settings.Duration(2 * time.Second),
				MaxConns:   4096,
			}
		},
		Check: func(in *kernel.Instance, _ any) error {
			if _, err := rpc.LoadKey(in.FleetKeyFile); err != nil {
				return settings.Invalid("instance/fleet_key_file", "%v", err)
			}
			return nil
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newPeer(c) },
	})
}

// Member is a control instance that processes of the fleet connect to.
type Member struct {
	// Name is the instance name of the control instance.
	Name string `json:"name"`
	// Address is IP:port of its listener for processes of the fleet.
	Address string `json:"address"`
	// AvailabilityZone is its zone; nodes prefer instances of their own.
	AvailabilityZone string `json:"availability_zone"`
}

// Settings configures the plug-in.
type Settings struct {
	// Listen is IP:port for connections of other processes; empty on nodes.
	Listen string `json:"listen"`
	// Instances lists the control instances of the fleet, this one included.
	Instances []Member `json:"instances"`
	// MinBackoff and MaxBackoff bound the pause between attempts to connect. The
	// pause doubles with each failure and is drawn uniformly from its upper half.
	MinBackoff settings.Duration `json:"min_backoff"`
	MaxBackoff settings.Duration `json:"max_backoff"`
	// MaxConns bounds the accepted connections.
	MaxConns int `json:"max_conns"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.OptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, m := range s.Instances {
		if err := settings.Address(field("instances", i, "address"), m.Address); err != nil {
			return err
		}
		if m.Name == "" || seen[m.Name] {
			return settings.Invalid(field("instances", i, "name"), "%q is empty or used twice", m.Name)
		}
		seen[m.Name] = true
	}
	if s.MinBackoff <= 0 || s.MaxBackoff < s.MinBackoff {
		return settings.Invalid("max_backoff", "must be at least min_backoff, which must be positive")
	}
	if s.MaxConns < 1 {
		return settings.Invalid("max_conns", "%d is below 1", s.MaxConns)
	}
	return nil
}
