package announce

import "github.com/celeryyard/celeryyard/core/resource"

// announcer decides what is announced. Callers serialise its methods.
type announcer struct {
	// desired is the record as it ought to be known; Node is empty without an upstream.
	desired resource.Endpoint
	// confirmed is the revision that a control instance has stored.
	confirmed uint64
	// dirty tells that the record changed or has to be announced anew.
	dirty bool
	// flying is the revision of the unanswered announcement; 0 for none.
	flying uint64
}

// set changes the record's state. readySince is the time in Unix milliseconds
// that drives slow start.
func (a *announcer) set(state resource.EndpointState, readySince int64) {
	if a.desired.Node == "" || a.desired.State == state {
		return
	}
	a.desired.State = state
	if state == resource.StateReady {
		a.desired.ReadySince = readySince
	}
	a.dirty = true
}

// renew makes the record be announced again: after a session has begun, or
// after an announcement failed.
func (a *announcer) renew() {
	a.flying = 0
	a.dirty = a.desired.Node != ""
}

// next returns the record to announce now. Each announcement has its own
// revision, so that those of one node are totally ordered wherever they arrive.
func (a *announcer) next() (resource.Endpoint, bool) {
	if !a.dirty || a.flying != 0 {
		return resource.Endpoint{}, false
	}
	a.desired.Revision++
	a.dirty, a.flying = false, a.desired.Revision
	return a.desired, true
}

// answered takes the answer to the announcement with a revision. known is the
// incarnation to exceed when it was refused.
func (a *announcer) answered(revision, known uint64, ok bool) {
	if revision != a.flying {
		return // answer of an earlier session
	}
	a.flying = 0
	if ok {
		a.confirmed = revision
		return
	}
	a.desired.Incarnation = max(a.desired.Incarnation, known) + 1
	a.dirty = true
}
