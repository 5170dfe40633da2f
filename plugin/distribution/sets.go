package distribution

import (
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// maxPastStates is the number of earlier states of each endpoint set that are kept; the oldest is
// dropped first. Nodes that hold one of these states can be sent the changes since then; all
// others are sent the whole set.
const maxPastStates = 16

// setVersion is one state of an endpoint set. It is immutable.
type setVersion struct {
	set    *resource.EndpointSet
	digest uint64
}

// setHistory is the newest state of an endpoint set with its most recent earlier states. Its
// methods must not be called concurrently.
type setHistory struct {
	setVersion
	// past holds the earlier states, the oldest first.
	past []setVersion
	// changesByBase caches the changes from earlier states, by the digest of that state.
	changesByBase map[uint64]*peerapi.SetChange
}

// newSetHistory returns the history that follows prev when set becomes the newest state, or prev
// itself if the content of the set is unchanged. prev is nil for a service without a history.
func newSetHistory(set resource.EndpointSet, prev *setHistory) *setHistory {
	s := &setHistory{setVersion: setVersion{set: &set, digest: peerapi.Digest(&set)}, changesByBase: map[uint64]*peerapi.SetChange{}}
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
// if that state is unknown or the change has more entries than the whole set.
func (s *setHistory) changeFrom(digest uint64) *peerapi.SetChange {
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

// hasLostReadyEndpoint reports whether an endpoint that is ready in old is not ready in current.
func hasLostReadyEndpoint(old, current *resource.EndpointSet) bool {
	ready := map[string]bool{}
	for i := range current.Endpoints {
		if current.Endpoints[i].State == resource.StateReady {
			ready[current.Endpoints[i].Node] = true
		}
	}
	for i := range old.Endpoints {
		if old.Endpoints[i].State == resource.StateReady && !ready[old.Endpoints[i].Node] {
			return true
		}
	}
	return false
}
