package announce

import "github.com/celeryyard/celeryyard/core/resource"

// announcer decides which record is announced and when. It is not safe for concurrent use.
type announcer struct {
	// desiredRecord is the record that should be known to the control instances; Node is empty
	// without an upstream.
	desiredRecord resource.Endpoint
	// confirmedRevision is the newest revision that a control instance has stored.
	confirmedRevision uint64
	// dirty is set when the record has changed or must be announced again.
	dirty bool
	// inFlightRevision is the revision of the announcement that awaits its reply; 0 for none.
	inFlightRevision uint64
}

// setState changes the record's state. readySince, in Unix milliseconds, is the start of the slow
// start; it is used only for the state ready. setState does nothing if there is no upstream or if
// the record already has the state.
func (a *announcer) setState(state resource.EndpointState, readySince int64) {
	if a.desiredRecord.Node == "" || a.desiredRecord.State == state {
		return
	}
	a.desiredRecord.State = state
	if state == resource.StateReady {
		a.desiredRecord.ReadySince = readySince
	}
	a.dirty = true
}

// markDirty causes the record to be announced again, after a session has started or an
// announcement has failed.
func (a *announcer) markDirty() {
	a.inFlightRevision = 0
	a.dirty = a.desiredRecord.Node != ""
}

// nextAnnouncement returns the record to announce now, or false if there is none or an announcement
// awaits its reply. Each announcement has its own revision, so that the announcements of a node are
// totally ordered at every receiver.
func (a *announcer) nextAnnouncement() (resource.Endpoint, bool) {
	if !a.dirty || a.inFlightRevision != 0 {
		return resource.Endpoint{}, false
	}
	a.desiredRecord.Revision++
	a.dirty, a.inFlightRevision = false, a.desiredRecord.Revision
	return a.desiredRecord, true
}

// isConfirmed reports whether a control instance has stored the record as it is.
func (a *announcer) isConfirmed() bool {
	return !a.dirty && a.inFlightRevision == 0 && a.confirmedRevision == a.desiredRecord.Revision
}

// handleReply processes the reply to the announcement with the given revision; ok reports whether
// the announcement was stored. If it was not, the next announcement must have a higher incarnation
// than knownIncarnation.
func (a *announcer) handleReply(revision, knownIncarnation uint64, ok bool) {
	if revision != a.inFlightRevision {
		return // reply from an earlier session
	}
	a.inFlightRevision = 0
	if ok {
		a.confirmedRevision = revision
		return
	}
	a.desiredRecord.Incarnation = max(a.desiredRecord.Incarnation, knownIncarnation) + 1
	a.dirty = true
}
