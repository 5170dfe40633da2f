package announce

import "github.com/celeryyard/celeryyard/core/resource"

// announcer decides which record is announced and when. It is not safe for concurrent use.
type announcer struct {
	// desired is the record that should be known to the control instances; Node is empty without
	// an upstream.
	desired resource.Endpoint
	// confirmed is the newest revision that a control instance has stored.
	confirmed uint64
	// dirty is set when the record has changed or must be announced again.
	dirty bool
	// inFlight is the revision of the announcement that awaits its reply; 0 for none.
	inFlight uint64
}

// setState changes the record's state. readySince, in Unix milliseconds, is the start of the slow
// start; it is used only for the state ready.
func (a *announcer) setState(state resource.EndpointState, readySince int64) {
	if a.desired.Node == "" || a.desired.State == state {
		return
	}
	a.desired.State = state
	if state == resource.StateReady {
		a.desired.ReadySince = readySince
	}
	a.dirty = true
}

// markDirty causes the record to be announced again, after a session has started or an
// announcement has failed.
func (a *announcer) markDirty() {
	a.inFlight = 0
	a.dirty = a.desired.Node != ""
}

// nextAnnouncement returns the record to announce now, or false if there is none or an announcement
// awaits its reply. Each announcement has its own revision, so that the announcements of a node are
// totally ordered at every receiver.
func (a *announcer) nextAnnouncement() (resource.Endpoint, bool) {
	if !a.dirty || a.inFlight != 0 {
		return resource.Endpoint{}, false
	}
	a.desired.Revision++
	a.dirty, a.inFlight = false, a.desired.Revision
	return a.desired, true
}

// handleReply processes the reply to the announcement with the given revision; ok reports whether the
// announcement was stored. If it was not, known is the incarnation that the next one must exceed.
func (a *announcer) handleReply(revision, known uint64, ok bool) {
	if revision != a.inFlight {
		return // reply from an earlier session
	}
	a.inFlight = 0
	if ok {
		a.confirmed = revision
		return
	}
	a.desired.Incarnation = max(a.desired.Incarnation, known) + 1
	a.dirty = true
}
