package announce

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Report is the state that an upstream reports in a heartbeat.
type Report struct {
	// ID identifies one start of the upstream. It may also identify several starts, which then
	// differ in StartedAtMillis.
	ID string
	// StartedAtMillis is the start time of the upstream in Unix milliseconds; 0 if it is not reported.
	StartedAtMillis int64
	// Sequence increases with each report of one start.
	Sequence uint64
	// Service is the name of the service that the upstream belongs to, and Address its IP:port.
	Service, Address string
	// Version is the version of the upstream's software; empty if it is not reported.
	Version string
	// Slots is the number of calls that the upstream handles concurrently.
	Slots int
	// Draining is set when the upstream is about to leave. Gone is set when the upstream has left,
	// even if it sent no report with Draining before.
	Draining, Gone bool
	// SlowFor is how long the upstream will still be slow after its start.
	SlowFor time.Duration
}

// start identifies the report.
func (r *Report) start() resource.UpstreamStart {
	return resource.UpstreamStart{ID: r.ID, StartedAtMillis: r.StartedAtMillis, Sequence: r.Sequence}
}

// heartbeats decides which reports are accepted. Reports may arrive late and out of order, also
// from an earlier upstream at the same address. It is not safe for concurrent use.
type heartbeats struct {
	// latestReport is the last accepted report that does not have Gone set.
	latestReport Report
	// lastReceivedAt is when the last accepted report arrived. It is zero before the first report
	// and after the upstream has been found silent.
	lastReceivedAt time.Time
	// upstreamClosed is set when the upstream accepts no new calls.
	upstreamClosed bool
	// closed is the closure that the upstream has stated last, or one of a later start that another one has. It is announced.
	closed resource.Closure
	// stated holds the closures that this process was told of. Reports that they cover are not accepted.
	stated closureList
	// known is the latest report before a restart of the node, as far as the control instances know it.
	known resource.UpstreamStart
	// recorded holds the closures that are known to be in the replicated log. Reports that they cover are not accepted.
	recorded closureList
	// displaced is the last report of a live upstream whose address another one has claimed since; it has no
	// ID if there is none.
	displaced Report
	// disproved is the start of an upstream that claimed the address although another one answers there.
	disproved resource.UpstreamStart
}

// contests reports whether r claims the address of another upstream that is live: that one has sent
// heartbeats and has neither closed nor been found silent. An address belongs to one upstream at a time.
func (h *heartbeats) contests(r Report) bool {
	isLive := !h.upstreamClosed && !h.lastReceivedAt.IsZero()
	return isLive && r.ID != h.latestReport.ID
}

// disprove takes the address from the named upstream if that has claimed it from a live one. It reports whether
// it has changed anything; the upstream before is then current again.
func (h *heartbeats) disprove(id string, now time.Time) bool {
	if h.latestReport.ID != id || h.displaced.ID == "" {
		return false
	}
	h.disproved = h.latestReport.start()
	h.latestReport, h.displaced = h.displaced, Report{}
	h.upstreamClosed, h.lastReceivedAt = false, now
	return true
}

// isDisproved reports whether r is of the start that disprove has rejected.
func (h *heartbeats) isDisproved(r Report) bool {
	return h.disproved.ID != "" && r.ID == h.disproved.ID && r.StartedAtMillis == h.disproved.StartedAtMillis
}

// accept records a report and returns true, or returns false if the report is outdated.
func (h *heartbeats) accept(r Report, now time.Time) bool {
	if r.ID == h.displaced.ID && (r.Draining || r.Gone) {
		h.displaced = Report{} // it leaves, and must not get the address back
	}
	if h.isOutdated(r) {
		return false
	}
	if r.Gone {
		if h.latestReport.ID != "" && r.ID != h.latestReport.ID {
			return false // an earlier upstream, which the current one has replaced
		}
		h.upstreamClosed, h.closed, h.lastReceivedAt = true, h.statedClosure(r, now), now
		h.stated = h.stated.add(h.closed)
		return true
	}
	contests := h.contests(r)
	if r.Draining {
		c := h.statedClosure(r, now)
		h.closed, h.stated = h.closed.Join(c), h.stated.add(c)
	}
	if contests && (r.Draining || h.isDisproved(r)) {
		return false // an upstream that leaves claims no address
	}
	switch {
	case contests:
		h.displaced = h.latestReport
	case r.ID != h.latestReport.ID:
		h.displaced = Report{}
	}
	h.upstreamClosed = r.Draining
	h.latestReport, h.lastReceivedAt = r, now
	return true
}

// statedClosure returns the closure that a report with Draining or Gone set states.
func (h *heartbeats) statedClosure(r Report, now time.Time) resource.Closure {
	if r.Gone {
		return resource.Closure{Start: h.endedStart(r, now), Final: true}
	}
	return resource.Closure{Start: r.start()}
}

// endedStart returns the start that a Gone report ends. If the report does not state its start time,
// that is the start whose reports are known. A node that has started since then knows of none: the
// start began before the report.
func (h *heartbeats) endedStart(r Report, now time.Time) resource.UpstreamStart {
	switch {
	case r.StartedAtMillis != 0:
	case h.latestReport.ID == r.ID:
		return h.latestReport.start()
	case h.known.ID == r.ID:
		return h.known
	case h.closed.Final && h.closed.Start.ID == r.ID:
		return h.closed.Start // a repeated report
	default:
		r.StartedAtMillis = now.UnixMilli()
	}
	return r.start()
}

// isOutdated reports whether r was sent before the latest report, or belongs to a start of the
// upstream that has already closed. A drain is never out of date, whatever its sequence number: a later report of the
// same start may come from another writer.
func (h *heartbeats) isOutdated(r Report) bool {
	latest := &h.latestReport
	switch {
	case r.Gone && r.Sequence == 0 && r.StartedAtMillis == 0:
		return false // a Gone report without start time and sequence number cannot be ordered
	case !r.Gone && (h.closed.Covers(r.start()) || h.stated.covers(r.start()) || h.recorded.covers(r.start())):
		return true
	case r.StartedAtMillis != 0 && latest.StartedAtMillis != 0 && r.StartedAtMillis != latest.StartedAtMillis:
		return r.StartedAtMillis < latest.StartedAtMillis
	case r.ID != latest.ID:
		return false
	}
	return !r.Gone && !r.Draining && r.Sequence <= latest.Sequence
}

// check returns an error if r cannot be a report of the upstream beside the node: a start belongs to one service, and a report
// for a service that does not exist, as unknownService states, names no upstream to use while another one is known.
func (h *heartbeats) check(r Report, unknownService bool) error {
	latest := &h.latestReport
	if r.Gone || latest.ID == "" || r.Service == latest.Service {
		return nil
	}
	if r.ID == latest.ID && r.StartedAtMillis == latest.StartedAtMillis {
		return errors.Newf("upstream %.40q belongs to the service %.40q, not %.40q", r.ID, latest.Service, r.Service)
	}
	if unknownService && (h.contests(r) || r.ID == latest.ID) {
		return errors.Newf("service %.40q does not exist", r.Service)
	}
	return nil
}

// isSilent reports whether an upstream that accepts calls has sent no heartbeat for longer than
// timeout.
func (h *heartbeats) isSilent(now time.Time, timeout time.Duration) bool {
	return !h.lastReceivedAt.IsZero() && !h.upstreamClosed && now.Sub(h.lastReceivedAt) > timeout
}

// isUnknownService reports whether the configuration that the node holds lacks the service.
func (a *Announce) isUnknownService(service string) bool {
	if a.view == nil {
		return false
	}
	s := a.view.Current()
	if s == nil || len(s.Clusters) == 0 {
		return false
	}
	for _, c := range s.Clusters {
		if c.Service == service {
			return false
		}
	}
	return true
}

// HandleMisdirected processes the answer to a call for the upstream with the given ID that another upstream
// gave. If that ID has claimed the address from a live upstream, the one before gets it back.
func (a *Announce) HandleMisdirected(id string) {
	now := a.c.Clock.Now()
	a.mu.Lock()
	if !a.heartbeats.disprove(id, now) {
		a.mu.Unlock()
		return
	}
	r := a.heartbeats.latestReport
	a.replaceUpstream(r, now)
	if a.stop == nil {
		a.announcer.setState(resource.StateReady, readySinceMillis(now, 0))
	}
	a.mu.Unlock()
	a.c.Log.Log(evDisproved).Str("upstream", r.ID).Str("claimed_by", id).Send()
	a.onUpstreamChange()
	a.announce()
}

// HandleReport processes a heartbeat of the upstream beside the node. After HandleReport returns, an
// upstream that reported Draining or Gone gets no new calls. If the report is outdated, HandleReport
// changes nothing. It returns an error, and changes nothing, if the report cannot be one of that upstream.
func (a *Announce) HandleReport(r Report) error {
	now := a.c.Clock.Now()
	unknownService := !r.Gone && a.isUnknownService(r.Service)
	a.mu.Lock()
	if latest := a.heartbeats.latestReport.Service; !r.Gone && !unknownService && r.Service != latest && a.isUnknownService(latest) {
		a.heartbeats.latestReport = Report{} // accepted before the configuration was known
	}
	before := a.heartbeats
	err := a.heartbeats.check(r, unknownService)
	if err != nil || !a.heartbeats.accept(r, now) {
		a.mu.Unlock()
		a.c.Log.Log(evLateReport).Str("upstream", r.ID).Str("service", r.Service).Uint("sequence", r.Sequence).Str("known_upstream", before.latestReport.ID).Err(err).Send()
		return err
	}
	previous, generation := a.upstream, a.generation
	if r.ID != before.latestReport.ID || r.StartedAtMillis != before.latestReport.StartedAtMillis {
		a.replaceUpstream(r, now)
	}
	replaced := a.generation != generation
	closureChanged := a.heartbeats.upstreamClosed != before.upstreamClosed
	adopted := r.Gone && a.adoptKnownRecord()
	state := resource.StateReady
	if a.heartbeats.upstreamClosed {
		state = resource.StateDraining
	}
	if r.Gone {
		state = resource.StateGone
	}
	changed := adopted || a.stop == nil && a.announcer.desiredRecord.State != state
	if a.stop == nil {
		a.announcer.setState(state, readySinceMillis(now, r.SlowFor))
	} else if a.heartbeats.closed.Start.ID != before.closed.Start.ID || a.heartbeats.closed.Final != before.closed.Final {
		a.announcer.dirty = a.announcer.desiredRecord.Node != "" // the closure must outlive the stop
	}
	announce := a.announcer.dirty
	a.mu.Unlock()
	if changed {
		a.c.Log.Log(evReport).Str("upstream", r.ID).Str("state", string(state)).Uint("sequence", r.Sequence).
			Int("cold_ms", int(r.SlowFor.Milliseconds())).Send()
	}
	if replaced {
		a.c.Log.Log(evReplaced).Str("upstream", r.ID).Str("service", r.Service).
			Str("before", before.latestReport.ID).Str("service_before", previous.Service).Send()
		if previous.Service != "" && previous.Service != r.Service {
			a.c.RequestReload() // the settings name the service of the upstream too, and are else checked from time to time only
		}
	}
	if replaced || closureChanged {
		a.onUpstreamChange()
	}
	if announce {
		a.announce()
	}
	return nil
}

// defaultSlowStart is the slow start of the clusters of a whole configuration, which cannot set a
// different one. ReadySince of a record is the end of the upstream's slow phase minus this time, so
// that slow start ends together with the slow phase.
const defaultSlowStart = 3 * time.Second

// readySinceMillis returns the ReadySince, in Unix milliseconds, of an upstream whose slow phase ends
// after slowFor.
func readySinceMillis(now time.Time, slowFor time.Duration) int64 {
	return now.Add(slowFor - defaultSlowStart).UnixMilli()
}

// replaceUpstream sets the upstream and its record from the first report of a new start. It does
// nothing if that report has Gone set and names no service. The caller holds mu.
func (a *Announce) replaceUpstream(r Report, now time.Time) {
	if r.Gone && r.Service == "" {
		return
	}
	a.upstream = Upstream{Service: r.Service, Address: r.Address, Slots: r.Slots, Version: r.Version}
	a.generation++
	previous := a.announcer.desiredRecord
	a.announcer.desiredRecord = resource.Endpoint{
		Node: a.c.Instance.Name, Service: r.Service, Address: a.s.Address, Slots: r.Slots,
		Incarnation: max(previous.Incarnation, a.session.Incarnation()), Revision: previous.Revision,
		AvailabilityZone: a.c.Instance.AvailabilityZone, Region: a.c.Instance.Region, State: resource.StateStarting,
		Version: r.Version,
	}
	if a.stop != nil {
		a.announcer.desiredRecord.State = resource.StateDraining // the node itself is stopping
	}
	a.announcer.dirty = true
}

// checkHeartbeats announces a ready upstream as starting, and thus not ready, if it has stopped
// sending heartbeats.
func (a *Announce) checkHeartbeats() {
	now := a.c.Clock.Now()
	a.mu.Lock()
	silent := a.heartbeats.isSilent(now, a.s.ReportTimeout.AsDuration()) && a.stop == nil && a.announcer.desiredRecord.State == resource.StateReady
	if silent {
		a.announcer.setState(resource.StateStarting, 0)
		a.heartbeats.latestReport.Sequence, a.heartbeats.lastReceivedAt = 0, time.Time{} // the next report is accepted whatever its sequence number
	}
	id := a.heartbeats.latestReport.ID
	a.mu.Unlock()
	if silent {
		a.c.Log.Log(evSilent).Str("upstream", id).Send()
		a.announce()
	}
}

// Drain implements kernel.Drainer. The planned stop begins while the process still serves its own
// callers, which need some time to move away. Until LeaveDelay has passed, the upstream accepts
// calls from other nodes. If the process has to stop earlier, the planned stop begins then.
func (a *Announce) Drain() {
	if a.s.LeaveDelay <= 0 || a.Upstream().Closed {
		a.Leave(func() {})
		return
	}
	a.c.RunAfter(a.s.LeaveDelay.AsDuration(), jobKey, func() { a.Leave(func() {}) })
}
