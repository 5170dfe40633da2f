package announce

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// latestStart returns the latest report of the upstream that is known, also from before a restart of
// the node.
func (h *heartbeats) latestStart() resource.UpstreamStart {
	if h.latestReport.ID != "" {
		return h.latestReport.start()
	}
	return h.known
}

// announcedClosure returns the closure that is announced. One of an upstream that the fleet has never
// heard of is not: it would take the place of the closure of a known one.
func (h *heartbeats) announcedClosure() resource.Closure {
	if id := h.closed.Start.ID; id != h.latestReport.ID && id != h.known.ID {
		return resource.Closure{}
	}
	return h.closed
}

// restore adds what the control instances know from before a restart of the node. It reports whether
// the upstream has closed according to that.
func (h *heartbeats) restore(known *resource.Announcement) (closed bool) {
	h.known, h.closed = known.Upstream, h.closed.Join(known.Closed)
	if h.upstreamClosed || !h.closed.Covers(h.latestReport.start()) {
		return false
	}
	h.upstreamClosed = true
	return true
}

// handleAttach learns what the control instance knows of the upstream, and announces the record.
func (a *Announce) handleAttach(known *resource.Announcement) { a.handleKnown(known, false) }

// handleKnown is like handleAttach. complete is set if known is the answer of an instance that has the records of the
// others.
func (a *Announce) handleKnown(known *resource.Announcement, complete bool) {
	closed := false
	a.mu.Lock()
	a.unknown = known == nil && complete
	if known != nil {
		a.known = known
		if closed = a.heartbeats.restore(known); closed && a.stop == nil {
			a.announcer.setState(closedState(a.heartbeats.closed), 0)
		}
		a.adoptKnownRecord()
	}
	id := a.heartbeats.latestReport.ID
	a.announcer.markDirty()
	a.notifyRecorded()
	a.mu.Unlock()
	if closed {
		a.c.Log.Log(evKnownClosed).Str("upstream", id).Send()
		a.onUpstreamChange()
	}
	a.announce()
}

// adoptKnownRecord continues the record of the upstream that the control instances know from before a
// restart of the node, if the upstream has closed and they do not know that yet. It reports whether it
// did. The caller holds mu.
func (a *Announce) adoptKnownRecord() bool {
	closure := a.heartbeats.announcedClosure()
	if a.known == nil || a.announcer.desiredRecord.Node != "" || !closure.Covers(a.known.Upstream) || a.known.Closed.Join(closure) == a.known.Closed {
		return false
	}
	e := a.known.Endpoint
	e.Incarnation, e.Revision, e.State = max(e.Incarnation+1, a.session.Incarnation()), 0, closedState(closure)
	a.announcer.desiredRecord, a.announcer.dirty = e, true
	return true
}

// closedState returns the state of the endpoint whose upstream has stated the closure.
func closedState(c resource.Closure) resource.EndpointState {
	if c.Final {
		return resource.StateGone
	}
	return resource.StateDraining
}

// notifyRecorded wakes the callers of AwaitRecorded. The caller holds mu.
func (a *Announce) notifyRecorded() {
	close(a.recorded)
	a.recorded = make(chan struct{})
}

// knownInterval is the interval at which a node without a record asks what is known of it, while a report of the end of
// its upstream waits. An instance that has just started may not know yet.
const knownInterval = 150 * time.Millisecond

// requestKnown asks the control instance what it knows of this node.
func (a *Announce) requestKnown() {
	a.session.Call(peerapi.NodeKnown, struct{}{}, a.s.CallTimeout.AsDuration(), func(raw []byte, err error) {
		var r peerapi.KnownReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err == nil && (r.Known != nil || r.Complete) {
			a.handleKnown(r.Known, r.Complete)
		}
	})
}

// ErrNotRecorded means that no control instance has stored the reports of the upstream.
var ErrNotRecorded = errors.New("the report is not stored by a control instance yet")

// AwaitRecorded blocks until a control instance has stored what the accepted reports have changed, and
// the instances connected to it have confirmed a closure. It returns ErrNotRecorded if ctx ends before.
// A report that closes the upstream may be acknowledged only then: a node that is restarted remembers
// nothing else.
func (a *Announce) AwaitRecorded(ctx context.Context) error {
	for {
		a.mu.Lock()
		done := a.announcer.isConfirmed()
		isMissing := a.announcer.desiredRecord.Node == ""
		if isMissing {
			done = a.unknown || a.known != nil // nothing is known that could be closed, or it is closed already
		}
		changed := a.recorded
		a.mu.Unlock()
		if done {
			return nil
		}
		var again <-chan time.Time
		if isMissing {
			a.requestKnown()
			again = time.After(knownInterval)
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
			return ErrNotRecorded
		}
	}
}
