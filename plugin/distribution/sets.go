package distribution

import (
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// maxPastStates is the number of earlier states kept of each endpoint set, so that nodes that
// missed a few changes are sent those changes instead of the whole set.
const maxPastStates = 16

// setVersion is one state of an endpoint set. It is immutable.
type setVersion struct {
	set    *resource.EndpointSet
	digest uint64
}

// setState is the newest state of an endpoint set with its earlier states, the oldest first.
// Its methods must not be called concurrently.
type setState struct {
	setVersion
	past []setVersion
	// changesByBase caches the changes from earlier states, by the digest of that state.
	changesByBase map[uint64]*peerapi.SetChange
}

// newSetState returns the successor of prev, or prev itself when the content is the same. prev
// may be nil.
func newSetState(set resource.EndpointSet, prev *setState) *setState {
	s := &setState{setVersion: setVersion{set: &set, digest: peerapi.Digest(&set)}, changesByBase: map[uint64]*peerapi.SetChange{}}
	if prev == nil {
		return s
	}
	if prev.digest == s.digest {
		return prev
	}
	past := append(append([]setVersion{}, prev.past...), prev.setVersion)
	s.past = past[max(0, len(past)-maxPastStates):]
	return s
}

// changeFrom returns the change from the state with the given digest to the newest one, or nil
// when that state is unknown or the whole set is smaller.
func (s *setState) changeFrom(digest uint64) *peerapi.SetChange {
	if c, ok := s.changesByBase[digest]; ok {
		return c
	}
	var c *peerapi.SetChange
	for _, p := range s.past {
		if p.digest != digest {
			continue
		}
		d := peerapi.Diff(p.set, s.set)
		if len(d.Upserts)+len(d.Removes) <= len(s.set.Endpoints) {
			c = &d
		}
	}
	s.changesByBase[digest] = c
	return c
}

// hasLostReadyEndpoint reports whether an endpoint that is ready in old is not ready in now.
func hasLostReadyEndpoint(old, now *resource.EndpointSet) bool {
	ready := map[string]bool{}
	for i := range now.Endpoints {
		if now.Endpoints[i].State == resource.StateReady {
			ready[now.Endpoints[i].Node] = true
		}
	}
	for i := range old.Endpoints {
		if old.Endpoints[i].State == resource.StateReady && !ready[old.Endpoints[i].Node] {
			return true
		}
	}
	return false
}
