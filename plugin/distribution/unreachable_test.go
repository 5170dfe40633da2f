package distribution

import (
	"slices"
	"testing"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// Guards against control instances that never tell their nodes which instances are gone: each node would
// try all of them again whenever it needs another instance.
func TestNodesAreToldOfUnreachableInstances(t *testing.T) {
	f := newFleet(t, "z", "z") // the second instance does not run
	f.startControl(0, "")
	r := f.dialRawNode(0, "n1")
	hello := func() (reply peerapi.HelloReply) {
		r.call(peerapi.NodeHello, &peerapi.Hello{Node: "n1", AvailabilityZone: "z", Incarnation: 1, Services: []string{peerapi.AllServices}}, &reply)
		return reply
	}
	if got := hello().Unreachable; got != nil {
		t.Errorf("instance that has just started reports %v as unreachable", got)
	}
	var told []string
	kerneltest.WaitUntil(t, 2*unreachableAfter, "pong that names the unreachable instance", func() bool {
		var pong peerapi.Pong
		r.call(peerapi.NodePing, &peerapi.Ping{}, &pong)
		if pong.Unreachable != nil {
			told = *pong.Unreachable
		}
		return told != nil
	})
	if want := []string{"control-1"}; !slices.Equal(told, want) {
		t.Errorf("pong names %v as unreachable, want %v", told, want)
	}
	var again peerapi.Pong
	if r.call(peerapi.NodePing, &peerapi.Ping{}, &again); again.Unreachable != nil {
		t.Errorf("unchanged list %v is sent again", *again.Unreachable)
	}
	if got := hello().Unreachable; !slices.Equal(got, told) {
		t.Errorf("answer to a hello names %v as unreachable, want %v", got, told)
	}
	f.startControl(1, "")
	kerneltest.WaitUntil(t, waitTimeout, "pong with an empty list", func() bool {
		var pong peerapi.Pong
		r.call(peerapi.NodePing, &peerapi.Ping{}, &pong)
		return pong.Unreachable != nil && len(*pong.Unreachable) == 0
	})
}
