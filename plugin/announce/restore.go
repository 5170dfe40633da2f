package announce

import (
	"context"
	"slices"
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

// closureList holds closures of upstreams of this node, at most one for each upstream ID.
type closureList []resource.Closure

// maxClosures bounds a closureList. It is exceeded only by reports of other writers.
const maxClosures = 8

// covers reports whether a closure of the list covers the report.
func (l closureList) covers(u resource.UpstreamStart) bool {
	return slices.ContainsFunc(l, func(c resource.Closure) bool { return c.Covers(u) })
}

// add returns a new list in which c is joined with the closure of the same upstream ID. The closure that was added first goes
// if the list is full.
func (l closureList) add(c resource.Closure) closureList {
	out := make(closureList, 0, len(l)+1)
	for _, o := range l {
		if o.Start.ID == c.Start.ID {
			c = c.Join(o)
		} else {
			out = append(out, o)
		}
	}
	out = append(out, c)
	return out[max(0, len(out)-maxClosures):]
}

// needsRecord reports whether the replicated log may lack what the closure states. A drain that is reported again needs no new
// record.
func (h *heartbeats) needsRecord(c resource.Closure) bool {
	return !slices.ContainsFunc(h.recorded, func(o resource.Closure) bool { return o.Includes(c) })
}

// addRecorded joins closures of the replicated log with those that are known. It reports whether the upstream has closed
// according to that, which was not known before.
func (h *heartbeats) addRecorded(closures []resource.Closure) (closed bool) {
	for _, c := range closures {
		h.recorded = h.recorded.add(c)
	}
	closed = !h.upstreamClosed && h.latestReport.ID != "" && h.recorded.covers(h.latestReport.start())
	h.upstreamClosed = h.upstreamClosed || closed
	return closed
}

// recordedState returns the state of the upstream according to the replicated log, which has a closure that covers it.
func (h *heartbeats) recordedState() resource.EndpointState {
	for _, c := range h.recorded {
		if c.Final && c.Covers(h.latestReport.start()) {
			return resource.StateGone
		}
	}
	return resource.StateDraining
}

// handleClosures learns which upstreams have closed from the replicated log. The closure of an upstream that is served is
// announced, although the control instances have it too: the record must not say that it is ready.
func (a *Announce) handleClosures(closures []resource.Closure) {
	a.mu.Lock()
	closed := a.heartbeats.addRecorded(closures)
	if closed && a.stop == nil {
		a.announcer.setState(a.heartbeats.recordedState(), 0)
	}
	id := a.heartbeats.latestReport.ID
	a.mu.Unlock()
	if closed {
		a.c.Log.Log(evKnownClosed).Str("upstream", id).Send()
		a.onUpstreamChange()
		a.announce()
	}
}

// record asks the control instance to record a closure in the replicated log, until that is done or ctx ends.
func (a *Announce) record(ctx context.Context, c resource.Closure) error {
	for {
		recorded := make(chan error, 1)
		a.session.Call(peerapi.NodeClose, &peerapi.Closing{Closure: c}, a.s.CallTimeout.AsDuration(), func(_ []byte, err error) { recorded <- err })
		select {
		case err := <-recorded:
			if err == nil {
				a.handleClosures([]resource.Closure{c})
				return nil
			}
		case <-ctx.Done():
			return ErrNotRecorded
		}
		select {
		case <-time.After(knownInterval):
		case <-ctx.Done():
			return ErrNotRecorded
		}
	}
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

// ErrNotRecorded means that the fleet has not stored the reports of the upstream.
var ErrNotRecorded = errors.New("the report is not stored by the control instances yet")

// AwaitRecorded blocks until the closure that r states is in the replicated log, a control instance has stored what the
// accepted reports have changed, and the instances connected to it have confirmed that. It returns ErrNotRecorded if ctx ends
// before. r must have been passed to HandleReport. A report that closes the upstream may be acknowledged only then: all
// processes of the fleet may be killed at one moment, and the upstream's earlier reports may arrive after that.
func (a *Announce) AwaitRecorded(ctx context.Context, r Report) error {
	now := a.c.Clock.Now()
	a.mu.Lock()
	c := a.heartbeats.statedClosure(r, now)
	needsRecord := a.heartbeats.needsRecord(c)
	a.mu.Unlock()
	recorded := make(chan error, 1)
	if needsRecord {
		go func() { recorded <- a.record(ctx, c) }()
	} else {
		recorded <- nil
	}
	if err := a.awaitAnnounced(ctx); err != nil {
		return err
	}
	return <-recorded
}

// awaitAnnounced blocks until a control instance has stored what the accepted reports have changed and the instances connected
// to it have confirmed a closure, or returns ErrNotRecorded if ctx ends before.
func (a *Announce) awaitAnnounced(ctx context.Context) error {
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
