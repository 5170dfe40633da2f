package announce

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Report is the state that an upstream reports in a heartbeat.
type Report struct {
	// ID identifies this start of the upstream, or several starts that differ in their start
	// time.
	ID string
	// StartedAtMillis is the start time of the upstream in Unix milliseconds; 0 if it is not reported.
	StartedAtMillis int64
	// Sequence increases with each report of one start.
	Sequence uint64
	// Service, Address and Slots describe the upstream.
	Service, Address string
	Slots            int
	// Draining is set when the upstream is about to leave; Gone is set when it has left, or
	// leaves without a Draining report before.
	Draining, Gone bool
	// SlowFor is how long the upstream will still be slow after its start.
	SlowFor time.Duration
}

// heartbeats decides which reports are accepted. Reports may arrive late and out of order, also
// from an earlier upstream at the same address. It is not safe for concurrent use.
type heartbeats struct {
	latest Report
	// lastHeard is when the last accepted report arrived; zero before the first one.
	lastHeard time.Time
	// closed is set when the upstream accepts no new calls.
	closed bool
	// lastEnded is the last report of the newest start that has left; late reports of that start
	// are not accepted.
	lastEnded Report
}

// accept records a report and returns true, or returns false if the report is outdated.
func (h *heartbeats) accept(r Report, now time.Time) bool {
	if h.isOutdated(r) {
		return false
	}
	if r.Gone {
		if h.latest.ID != "" && r.ID != h.latest.ID {
			return false // an earlier upstream, which the current one has replaced
		}
		h.closed, h.lastEnded, h.lastHeard = true, h.latest, now
		return true
	}
	h.closed = r.Draining
	h.latest, h.lastHeard = r, now
	return true
}

// isOutdated reports whether r was sent before the newest report, or by a start of the upstream
// that has left.
func (h *heartbeats) isOutdated(r Report) bool {
	latest := &h.latest
	switch {
	case r.Gone && r.Sequence == 0 && r.StartedAtMillis == 0:
		return false // a Gone report without start time and sequence number cannot be ordered
	case r.ID == h.lastEnded.ID && h.lastEnded.ID != "" && r.StartedAtMillis <= h.lastEnded.StartedAtMillis && !r.Gone:
		return true
	case r.StartedAtMillis != 0 && latest.StartedAtMillis != 0 && r.StartedAtMillis != latest.StartedAtMillis:
		return r.StartedAtMillis < latest.StartedAtMillis
	case r.ID != latest.ID:
		return false
	}
	return !r.Gone && r.Sequence <= latest.Sequence
}

// isSilent reports whether an upstream that accepts calls has sent no heartbeat for longer than
// timeout.
func (h *heartbeats) isSilent(now time.Time, timeout time.Duration) bool {
	return !h.lastHeard.IsZero() && !h.closed && now.Sub(h.lastHeard) > timeout
}

// HandleReport processes a heartbeat of the upstream beside the node. Once it has returned, an upstream
// that reported Draining or Gone gets no new calls. It returns false, and changes nothing, if the
// report is outdated.
func (a *Announce) HandleReport(r Report) bool {
	now := a.c.Clock.Now()
	a.mu.Lock()
	before := a.heartbeats
	if !a.heartbeats.accept(r, now) {
		a.mu.Unlock()
		a.c.Log.Log(evLateReport).Str("upstream", r.ID).Uint("sequence", r.Sequence).Str("known_upstream", before.latest.ID).Send()
		return false
	}
	if r.ID != before.latest.ID || r.StartedAtMillis != before.latest.StartedAtMillis {
		a.replaceUpstream(r, now)
	}
	state := resource.StateReady
	if a.heartbeats.closed {
		state = resource.StateDraining
	}
	if r.Gone {
		state = resource.StateGone
	}
	changed := a.stop == nil && a.announcer.desired.State != state
	if a.stop == nil {
		a.announcer.setState(state, readySinceMillis(now, r.SlowFor))
	}
	a.mu.Unlock()
	if changed {
		a.c.Log.Log(evReport).Str("upstream", r.ID).Str("state", string(state)).Uint("sequence", r.Sequence).
			Int("cold_ms", int(r.SlowFor.Milliseconds())).Send()
		a.announce()
	}
	return true
}

// defaultSlowStart is the slow start of clusters without one of their own. ReadySince of a record
// is set to this much before the time at which the upstream stops being slow.
const defaultSlowStart = 3 * time.Second

// readySinceMillis returns the ReadySince, in Unix milliseconds, of an upstream that is slow for
// another coldFor.
func readySinceMillis(now time.Time, coldFor time.Duration) int64 {
	return now.Add(coldFor - defaultSlowStart).UnixMilli()
}

// replaceUpstream sets the upstream and its record from the first report of a new start. mu is
// held.
func (a *Announce) replaceUpstream(r Report, now time.Time) {
	if r.Gone && r.Service == "" {
		return
	}
	a.upstream = Upstream{Service: r.Service, Address: r.Address, Slots: r.Slots}
	previous := a.announcer.desired
	a.announcer.desired = resource.Endpoint{
		Node: a.c.Instance.Name, Service: r.Service, Address: a.s.Address, Slots: r.Slots,
		Incarnation: max(previous.Incarnation, a.session.Incarnation()), Revision: previous.Revision,
		AvailabilityZone: a.c.Instance.AvailabilityZone, Region: a.c.Instance.Region, State: resource.StateStarting,
	}
	if a.stop != nil {
		a.announcer.desired.State = resource.StateDraining // the node itself is stopping
	}
	a.announcer.dirty = true
}

// checkHeartbeats announces an upstream that stopped sending heartbeats as not ready.
func (a *Announce) checkHeartbeats() {
	now := a.c.Clock.Now()
	a.mu.Lock()
	silent := a.heartbeats.isSilent(now, a.s.ReportTimeout.AsDuration()) && a.stop == nil && a.announcer.desired.State == resource.StateReady
	if silent {
		a.announcer.setState(resource.StateStarting, 0)
		a.heartbeats.latest.Sequence, a.heartbeats.lastHeard = 0, time.Time{} // its next report is accepted whatever its sequence number
	}
	id := a.heartbeats.latest.ID
	a.mu.Unlock()
	if silent {
		a.c.Log.Log(evSilent).Str("upstream", id).Send()
		a.announce()
	}
}

// UpstreamID implements api.Announcer.
func (a *Announce) UpstreamID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heartbeats.latest.ID
}

// IsClosed implements api.Announcer.
func (a *Announce) IsClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heartbeats.closed
}

// Drain implements kernel.Drainer. The planned stop begins while the process still serves its own
// callers, which need some time to move away. Until LeaveDelay has passed, the upstream accepts
// calls from other nodes; if the process has to stop earlier, the stop does not wait for that.
func (a *Announce) Drain() {
	if a.s.LeaveDelay <= 0 || a.IsClosed() {
		a.Leave(func() {})
		return
	}
	a.c.RunAfter(a.s.LeaveDelay.AsDuration(), jobKey, func() { a.Leave(func() {}) })
}
