package distribution

import (
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// setHistory is the number of former states of a set that are kept, so that
// nodes that missed a few changes get those instead of the whole set.
const setHistory = 16

// setVersion is one state of an endpoint set. It is immutable.
type setVersion struct {
	set    *resource.EndpointSet
	digest uint64
}

// setState is the newest state of an endpoint set with its former ones, the
// oldest first. Callers serialise its methods.
type setState struct {
	setVersion
	past []setVersion
	// changes holds the changes from former states, by their digest, once computed.
	changes map[uint64]*peerapi.SetChange
}

// newSetState returns the successor of prev, or prev itself when the content is
// the same. prev may be nil.
func newSetState(set resource.EndpointSet, prev *setState) *setState {
	s := &setState{setVersion: setVersion{set: &set, digest: peerapi.Digest(&set)}, changes: map[uint64]*peerapi.SetChange{}}
	if prev == nil {
		return s
	}
	if prev.digest == s.digest {
		return prev
	}
	past := append(append([]setVersion{}, prev.past...), prev.setVersion)
	s.past = past[max(0, len(past)-setHistory):]
	return s
}

// change returns the change from the state with the digest, or nil when that
// state is unknown or the whole set is smaller.
func (s *setState) change(digest uint64) *peerapi.SetChange {
	if c, ok := s.changes[digest]; ok {
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
	s.changes[digest] = c
	return c
}

// leaves reports whether an endpoint that takes work in old does not in now.
func leaves(old, now *resource.EndpointSet) bool {
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
