package peer

import (
	"fmt"
	"time"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "peer",
		After: []string{"pressure"},
		Settings: func() any {
			return &Settings{
				MinBackoff: settings.Duration(50 * time.Millisecond),
				MaxBackoff: settings.Duration(2 * time.Second),
				MaxConns:   4096, DialTimeout: settings.Duration(2 * time.Second),
				SilenceTimeout: settings.Duration(10 * time.Second),
			}
		},
		CheckFiles: func(in *kernel.Instance, _ any) error {
			if _, err := rpc.LoadKey(in.FleetKeyFile); err != nil {
				return settings.FieldErrorf("instance/fleet_key_file", "%v", err)
			}
			return nil
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newPeer(c) },
	})
}

// Member is a control instance to which processes of the fleet connect.
type Member struct {
	// Name is the instance name of the control instance.
	Name string `json:"name"`
	// Address is IP:port of its listener for processes of the fleet.
	Address string `json:"address"`
	// AvailabilityZone is its availability zone; nodes prefer the instances of their own zone.
	AvailabilityZone string `json:"availability_zone"`
}

// Settings configures the plug-in.
type Settings struct {
	// Listen is the address, IP:port, on which the process accepts connections of other
	// processes of the fleet; it is empty on nodes.
	Listen string `json:"listen"`
	// Instances lists all control instances of the fleet. On a control instance, the list includes
	// the instance itself.
	Instances []Member `json:"instances"`
	// Seeds lists the addresses, IP:port, of some control instances of an open fleet: a fleet
	// whose control instances are not listed in Instances. Only the host of an address is used; it
	// is also the name of the instance. Other instances are learned from the seeds.
	Seeds []string `json:"seeds"`
	// SeedPort is the port on which every control instance of an open fleet accepts
	// connections. It must be set if Seeds is not empty.
	SeedPort int `json:"seed_port"`
	// DialTimeout is the timeout of one attempt to connect.
	DialTimeout settings.Duration `json:"dial_timeout"`
	// SilenceTimeout is the time after which a connection is closed if the operating system of
	// the peer acknowledges nothing. It also limits the handshake of an outgoing connection.
	SilenceTimeout settings.Duration `json:"silence_timeout"`
	// MinBackoff is the back-off after a lost connection or the first failed attempt to connect.
	// The back-off doubles with each further failure, up to MaxBackoff. The pause before the next
	// attempt is a random time between half of the back-off and all of it.
	MinBackoff settings.Duration `json:"min_backoff"`
	// MaxBackoff is the longest back-off between attempts to connect.
	MaxBackoff settings.Duration `json:"max_backoff"`
	// MaxConns is the number of open connections at which further incoming ones are rejected.
	MaxConns int `json:"max_conns"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if err := settings.ValidateOptionalAddress("listen", s.Listen); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, m := range s.Instances {
		if err := settings.ValidateAddress(fieldPath("instances", i, "address"), m.Address); err != nil {
			return err
		}
		if m.Name == "" || seen[m.Name] {
			return settings.FieldErrorf(fieldPath("instances", i, "name"), "%q is empty or used twice", m.Name)
		}
		seen[m.Name] = true
	}
	for i, seed := range s.Seeds {
		if err := settings.ValidateAddress(fmt.Sprintf("seeds/%d", i), seed); err != nil {
			return err
		}
	}
	if s.SeedPort < 0 || s.SeedPort > 65535 || len(s.Seeds) > 0 && s.SeedPort == 0 {
		return settings.FieldErrorf("seed_port", "%d is not a valid port; a port is required with seeds", s.SeedPort)
	}
	if s.DialTimeout <= 0 || s.SilenceTimeout <= 0 {
		return settings.FieldErrorf("dial_timeout", "dial_timeout and silence_timeout must be positive")
	}
	if s.MinBackoff <= 0 || s.MaxBackoff < s.MinBackoff {
		return settings.FieldErrorf("max_backoff", "must be at least min_backoff, which must be positive")
	}
	if s.MaxConns < 1 {
		return settings.FieldErrorf("max_conns", "%d is below 1", s.MaxConns)
	}
	return nil
}
