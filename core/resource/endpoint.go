package resource

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Bounds of the fields of an endpoint record.
const (
	maxEndpointNameBytes = 1024
	maxEndpointSlots     = 1 << 16
)

// Check returns an error that names the first field of the record that no endpoint can have. Records
// are exchanged between processes, and one with such a field must not be stored.
func (e *Endpoint) Check() error {
	for _, f := range []struct{ field, value string }{
		{"node", e.Node}, {"svc", e.Service}, {"az", e.AvailabilityZone}, {"reg", e.Region}, {"ver", e.Version},
	} {
		if len(f.value) > maxEndpointNameBytes {
			return errors.Newf("%s has %d bytes, the limit is %d", f.field, len(f.value), maxEndpointNameBytes)
		}
	}
	if e.Node == "" {
		return errors.New("node is empty")
	}
	if e.Address != "" {
		if at, err := netip.ParseAddrPort(e.Address); err != nil || at.Port() == 0 {
			return errors.Newf("addr %.60q of node %.60q is not IP:port", e.Address, e.Node)
		}
	}
	if e.Slots < 0 || e.Slots > maxEndpointSlots {
		return errors.Newf("slots %d of node %.60q is outside 0..%d", e.Slots, e.Node, maxEndpointSlots)
	}
	switch e.State {
	case StateStarting, StateReady, StateDraining, StateGone:
		return nil
	}
	return errors.Newf("st %.60q of node %.60q is unknown", e.State, e.Node)
}
