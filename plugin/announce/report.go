package announce

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Report is what an upstream says of itself in a heartbeat.
type Report struct {
	// ID is the identity of this start of the upstream, or of several starts that
	// Born tells apart.
	ID string
	// Born is the upstream's start in Unix milliseconds; 0 when it does not say.
	Born int64
	// Sequence rises with each report of one start.
	Sequence uint64
	// Service, Address and Slots describe the upstream.
	Service, Address string
	Slots            int
	// Draining tells that the upstream is about to leave; Gone that it has left or
	// leaves without having said so before.
	Draining, Gone bool
	// ColdFor is how long the upstream is still slow after its start.
	ColdFor time.Duration
}

// heartbeats decides which reports count. Reports may arrive late and out of
// order, also from an earlier upstream at the same address. Callers serialise
// its methods.
type heartbeats struct {
	last Report
	// heard is when the last report that counts arrived; zero before the first one.
	heard time.Time
	// closed tells that the upstream takes no new call.
	closed bool
	// ended is the newest start that has left; its late reports do not count.
	ended Report
}

// take enters a report and tells whether it counts.
func (h *heartbeats) take(r Report, now time.Time) bool {
	if h.older(r) {
		return false
	}
	if r.Gone {
		if h.last.ID != "" && r.ID != h.last.ID {
			return false // an earlier upstream, which the present one has replaced
		}
		h.closed, h.ended, h.heard = true, h.last, now
		return true
	}
	h.closed = r.Draining
	h.last, h.heard = r, now
	return true
}

// older reports whether r was sent before the newest report, or by a start that
// has left.
func (h *heartbeats) older(r Report) bool {
	l := &h.last
	switch {
	case r.Gone && r.Sequence == 0 && r.Born == 0:
		return false // a farewell without a place in the order
	case r.ID == h.ended.ID && h.ended.ID != "" && r.Born <= h.ended.Born && !r.Gone:
		return true
	case r.Born != 0 && l.Born != 0 && r.Born != l.Born:
		return r.Born < l.Born
	case r.ID != l.ID:
		return false
	}
	return !r.Gone && r.Sequence <= l.Sequence
}

// silent reports whether the upstream has missed its heartbeats.
func (h *heartbeats) silent(now time.Time, timeout time.Duration) bool {
	return !h.heard.IsZero() && !h.closed && now.Sub(h.heard) > timeout
}

// Report takes a heartbeat of the upstream beside the node. From its return on, an
// upstream that said it leaves gets no new call. It returns false when the report
// is older than what is known and has changed nothing.
func (a *Announce) Report(r Report) bool {
	now := a.c.Clock.Now()
	a.mu.Lock()
	before := a.beats
	if !a.beats.take(r, now) {
		a.mu.Unlock()
		a.c.Log.Log(evLateReport).Str("upstream", r.ID).Uint("sequence", r.Sequence).Str("known_upstream", before.last.ID).Send()
		return false
	}
	if r.ID != before.last.ID || r.Born != before.last.Born {
		a.begin(r, now)
	}
	state := resource.StateReady
	if a.beats.closed {
		state = resource.StateDraining
	}
	if r.Gone {
		state = resource.StateGone
	}
	changed := a.leave == nil && a.record.desired.State != state
	if a.leave == nil {
		a.record.set(state, readySince(now, r.ColdFor))
	}
	a.mu.Unlock()
	if changed {
		a.c.Log.Log(evReport).Str("upstream", r.ID).Str("state", string(state)).Uint("sequence", r.Sequence).
			Int("cold_ms", int(r.ColdFor.Milliseconds())).Send()
		a.announce()
	}
	return true
}

// slowStart is the slow start of clusters that state none of their own; a record's
// ReadySince lies that far before the end of the upstream's own slow time.
const slowStart = 3 * time.Second

func readySince(now time.Time, cold time.Duration) int64 {
	return now.Add(cold - slowStart).UnixMilli()
}

// begin enters a new upstream; mu is held.
func (a *Announce) begin(r Report, now time.Time) {
	if r.Gone && r.Service == "" {
		return
	}
	a.upstream = Upstream{Service: r.Service, Address: r.Address, Slots: r.Slots}
	old := a.record.desired
	a.record.desired = resource.Endpoint{
		Node: a.c.Instance.Name, Service: r.Service, Address: a.s.Address, Slots: r.Slots,
		Incarnation: max(old.Incarnation, a.session.Incarnation()), Revision: old.Revision,
		AvailabilityZone: a.c.Instance.AvailabilityZone, Region: a.c.Instance.Region, State: resource.StateStarting,
	}
	if a.leave != nil {
		a.record.desired.State = resource.StateDraining // the node itself stops
	}
	a.record.dirty = true
}

// checkReports takes an upstream that misses its heartbeats out of the endpoints.
func (a *Announce) checkReports() {
	now := a.c.Clock.Now()
	a.mu.Lock()
	silent := a.beats.silent(now, a.s.ReportTimeout.D()) && a.leave == nil && a.record.desired.State == resource.StateReady
	if silent {
		a.record.set(resource.StateStarting, 0)
		a.beats.last.Sequence, a.beats.heard = 0, time.Time{} // its next report counts whatever its number
	}
	id := a.beats.last.ID
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
	return a.beats.last.ID
}

// Closed implements api.Announcer.
func (a *Announce) Closed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beats.closed
}

// Drain implements kernel.Drainer: the planned stop begins while the process
// still serves its callers, which need some time to move away. Until LeaveDelay has
// passed, the upstream takes calls of other nodes; a stop that is due earlier does not
// wait for that.
func (a *Announce) Drain() {
	if a.s.LeaveDelay <= 0 || a.Closed() {
		a.Leave(func() {})
		return
	}
	a.c.After(a.s.LeaveDelay.D(), jobKey, func() { a.Leave(func() {}) })
}
