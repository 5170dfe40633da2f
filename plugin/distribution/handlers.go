package distribution

import (
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// unreachableAfter is the time without a connection to another control instance after which nodes are
// told to try that instance last. A restart of an instance takes less.
const unreachableAfter = 5 * time.Second

// onHello opens the session of a node. A hello that is a probe is answered without opening one.
func (d *Distribution) onHello(c *rpc.Conn, r *rpc.Request) {
	h := &peerapi.Hello{}
	err := r.Decode(h)
	if err == nil && (h.Node != c.Peer || h.Node == "") {
		err = errors.Newf("process %q sent a hello for node %q", c.Peer, h.Node)
	}
	if err != nil {
		d.refuseMessage(c, r, err)
		return
	}
	now := d.c.Clock.Now()
	isolated, currency := d.assessContact(now)
	reply := &peerapi.HelloReply{
		Instance: d.c.Instance.Name, Isolated: isolated, Instances: d.openFleetInstances(), Unreachable: d.discovery.Unreachable(unreachableAfter),
		Currency: currency.message(now), Rules: d.rulesIndex(),
	}
	if h.Probe {
		r.Reply(reply)
		return
	}
	d.trace.Record("distribution", "hello", now, h.Node, h)
	e := &nodeSession{session: newSession(h), conn: c, sentUnreachable: reply.Unreachable}
	e.group = subscriptionGroup(e.session)
	e.lastReceived.Store(now.UnixNano())
	needsBarrier := d.attach(e, h, now)
	reply.Known, reply.Closures = d.discovery.LastAnnouncement(h.Node), d.closures.Closures(h.Node)
	d.c.Log.Log(evAttached).Str("node", h.Node).Uint("version", uint64(h.Version)).Send()
	if h.Version == 0 {
		reply.WaitingReason = "the instance confirms that its configuration is current"
	}
	r.Reply(reply)
	d.sendRulesTo(e)
	if needsBarrier {
		d.runBarrier()
	}
}

// openFleetInstances returns the control instances of an open fleet, this one included, and
// nil in a fleet whose instances are listed in the settings.
func (d *Distribution) openFleetInstances() []peerapi.Instance {
	if !d.peer.IsOpenFleet() {
		return nil
	}
	out := []peerapi.Instance{{Name: d.c.Instance.Name, AvailabilityZone: d.c.Instance.AvailabilityZone}}
	for _, m := range d.peer.Instances() {
		if m.Name != d.c.Instance.Name {
			out = append(out, peerapi.Instance{Name: m.Name, AvailabilityZone: m.AvailabilityZone})
		}
	}
	return out
}

// assessContact returns how current the configuration of this instance is, and whether the instance is
// isolated: it cannot bring its nodes up to date in time. That is so if it has had no contact with the quorum for longer
// than IsolatedAfter, if its disk, which must hold a version before it is released, takes longer than MaxWriteTime for
// a write, or if it applies what it receives late by more than MaxWriteTime. The time before the start of the process does
// not count: when all instances restart together, all nodes would otherwise move to another instance before the first
// election ends. A change of isolated is logged.
func (d *Distribution) assessContact(now time.Time) (isolated bool, c currency) {
	status, c := d.observeLog()
	ageSinceStart := func(at time.Time) time.Duration {
		if at.Before(d.startedAt) {
			at = d.startedAt
		}
		return now.Sub(at)
	}
	confirmedAge, currentAge := ageSinceStart(status.Confirmed), ageSinceStart(c.at)
	if c.version == 0 {
		currentAge = 0 // an instance without a configuration has none to be late with
	}
	isolated = confirmedAge > d.s.IsolatedAfter.AsDuration() || status.WriteTime > d.s.MaxWriteTime() ||
		currentAge > d.s.IsolatedAfter.AsDuration()+d.s.MaxWriteTime()
	if d.loggedIsolated.Swap(isolated) != isolated {
		d.c.Log.Log(evIsolated).Str("isolated", strconv.FormatBool(isolated)).Int("confirmed_age_ms", int(confirmedAge.Milliseconds())).
			Int("current_age_ms", int(currentAge.Milliseconds())).Int("write_ms", int(status.WriteTime.Milliseconds())).Str("leader", status.Leader).Send()
	}
	return isolated, c
}

// attach adds a session to the table and reports whether the caller must start a linearizable
// read for it.
func (d *Distribution) attach(e *nodeSession, h *peerapi.Hello, now time.Time) (needsBarrier bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions[e.conn.ID()] = e
	d.byNode[e.node] = e
	if e.zone == d.c.Instance.AvailabilityZone {
		d.admission.recordReportedVersion(h.Version)
	}
	if h.Version == 0 {
		return d.admission.addWaiting(e.conn.ID())
	}
	e.admitted = true
	d.scheduleResume(e, now)
	return false
}

// scheduleResume schedules the first update of an admitted session at the rate of
// resumeLimiter. It is called with mu held.
func (d *Distribution) scheduleResume(e *nodeSession, now time.Time) {
	delay := d.resumeLimiter.ReserveN(now, 1).DelayFrom(now)
	d.c.RunAfter(delay, "distribution/resume", func() {
		d.mu.Lock()
		e.resumed = true
		d.mu.Unlock()
		d.sendRulesTo(e) // before the endpoint sets: a node that has just started follows no rule yet
		d.advanceIndex()
		d.push(e)
	})
}

// runBarrier runs one linearizable read for all sessions that wait for admission.
func (d *Distribution) runBarrier() {
	d.log.Barrier(d.s.BarrierTimeout.AsDuration(), func(err error) {
		version, released := d.catalog.Version(), d.log.ReleasedVersion()
		now := d.c.Clock.Now()
		d.mu.Lock()
		result := d.admission.finishBarrier(err == nil, version, released)
		for _, id := range result.admitted {
			if e := d.sessions[id]; e != nil {
				e.admitted, e.minVersion = true, result.minVersion
				d.scheduleResume(e, now)
			}
		}
		waiting := len(d.admission.waiting) + len(d.admission.waitingForNext)
		again := waiting > 0 && result.reason == "" && d.admission.beginBarrier()
		d.mu.Unlock()
		if again {
			d.runBarrier()
			return
		}
		if result.reason != "" && waiting > 0 {
			d.c.Log.Log(evNotAdmitted).Int("nodes", waiting).Str("reason", result.reason).Err(err).Send()
		}
		if result.reason != "" {
			d.c.RunAfter(d.s.BarrierRetryDelay.AsDuration(), "distribution/barrier", d.retryBarrier)
		}
	})
}

// retryBarrier starts another linearizable read if sessions still wait for admission.
func (d *Distribution) retryBarrier() {
	d.mu.Lock()
	again := d.admission.beginBarrier()
	d.mu.Unlock()
	if again {
		d.runBarrier()
	}
}

// touchSession returns the session of a connection, or nil, and records the time of its last
// message.
func (d *Distribution) touchSession(c *rpc.Conn) *nodeSession {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.sessions[c.ID()]
	if e != nil {
		e.lastReceived.Store(d.c.Clock.Now().UnixNano())
	}
	return e
}

func (d *Distribution) onAck(c *rpc.Conn, r *rpc.Request) {
	a := &peerapi.Ack{}
	e := d.touchSession(c)
	err := r.Decode(a)
	if err == nil && e == nil {
		err = errors.Newf("process %q has no session", c.Peer)
	}
	if err != nil {
		d.refuseMessage(c, r, err)
		return
	}
	d.trace.Record("distribution", "ack", d.c.Clock.Now(), e.node, a)
	d.mu.Lock()
	matched := e.handleAck(a)
	if e.zone == d.c.Instance.AvailabilityZone {
		d.admission.recordReportedVersion(a.Version)
	}
	d.mu.Unlock()
	if a.Rejected != "" {
		d.rejections.Inc()
		d.c.Log.Log(evUpdateRejected).Str("node", e.node).Uint("held_version", uint64(a.Version)).Str("reason", a.Rejected).Send()
	}
	if matched {
		d.push(e)
	}
}

func (d *Distribution) onPing(c *rpc.Conn, r *rpc.Request) {
	p := &peerapi.Ping{}
	e := d.touchSession(c)
	err := r.Decode(p)
	if err == nil && e == nil {
		err = errors.Newf("process %q has no session", c.Peer)
	}
	if err != nil {
		d.refuseMessage(c, r, err)
		return
	}
	if e.zone == d.c.Instance.AvailabilityZone {
		d.recordReportedVersion(p.Version)
	}
	if p.Report != nil {
		d.capacity.Report(e.node, *p.Report)
	}
	now := d.c.Clock.Now()
	isolated, currency := d.assessContact(now)
	pong := &peerapi.Pong{Isolated: isolated, Currency: currency.message(now), Loads: d.capacity.Loads(p.Calls), Unreachable: d.changedUnreachable(e), Rules: d.rulesIndex()}
	if len(p.Rollouts) > 0 && d.rollouts != nil {
		pong.Permits = d.rollouts.Report(e.node, e.helloIncarnation, p.Rollouts)
	}
	r.Reply(pong)
}

// changedUnreachable returns the unreachable instances if the node was last told of others, else nil.
func (d *Distribution) changedUnreachable(e *nodeSession) *[]string {
	list := d.discovery.Unreachable(unreachableAfter)
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(list, e.sentUnreachable) {
		return nil
	}
	e.sentUnreachable = list
	if list == nil {
		list = []string{} // nil would be encoded as null, which means no change
	}
	return &list
}

// onAnnounce stores the record of the node's upstream. The announcement of a draining or withdrawn
// upstream is answered only after it has reached the other instances, or after the
// SpreadTimeout of discovery.
func (d *Distribution) onAnnounce(c *rpc.Conn, r *rpc.Request) {
	a := &resource.Announcement{}
	e := d.touchSession(c)
	err := r.Decode(a)
	switch {
	case err != nil:
	case e == nil:
		err = errors.Newf("process %q has no session", c.Peer)
	case a.Endpoint.Node != e.node || a.Endpoint.Service == "":
		err = errors.Newf("node %q announced an endpoint of node %q, service %q", e.node, a.Endpoint.Node, a.Endpoint.Service)
	default:
		err = a.Check()
	}
	if err != nil {
		d.refuseMessage(c, r, err)
		return
	}
	known, ok := d.discovery.Announce(*a)
	if ok {
		d.mu.Lock()
		e.incarnation = a.Endpoint.Incarnation // may be higher than the one in the hello
		d.mu.Unlock()
	}
	reply := &peerapi.AnnounceReply{OK: ok, KnownIncarnation: known}
	if s := a.Endpoint.State; ok && (s == resource.StateDraining || s == resource.StateGone) {
		d.discovery.AwaitPropagation(func() {
			if d.c.TryGo(pushJobKey, func() { d.pushAll(); r.Reply(reply) }) != nil {
				r.Reply(reply)
			}
		})
		return
	}
	r.Reply(reply)
}

// onKnown tells a node what is known of it.
func (d *Distribution) onKnown(c *rpc.Conn, r *rpc.Request) {
	e := d.touchSession(c)
	if e == nil {
		d.refuseMessage(c, r, errors.Newf("process %q has no session", c.Peer))
		return
	}
	complete := d.discovery.IsSettled() // read first: a record that arrives in between is then not missed
	r.Reply(&peerapi.KnownReply{Known: d.discovery.LastAnnouncement(e.node), Complete: complete})
}

// closingTimeout bounds the time until a closure that a node reports is recorded or refused. An endpoint waits for an
// acknowledgement for a second, and its node answers before.
const closingTimeout = 700 * time.Millisecond

// onClosing records a closure of an upstream of the node, and replies once that is done.
func (d *Distribution) onClosing(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.Closing{}
	e := d.touchSession(c)
	err := r.Decode(m)
	if err == nil && e == nil {
		err = errors.Newf("process %q has no session", c.Peer)
	}
	if err == nil {
		err = m.Closure.Check()
	}
	if err != nil {
		d.refuseMessage(c, r, err)
		return
	}
	d.closures.Record(e.node, m.Closure, closingTimeout, func(err error) {
		if err != nil {
			d.c.Log.Log(evNotRecorded).Str("node", e.node).Str("upstream", m.Closure.Start.ID).Err(err).Send()
			r.ReplyError(rpc.CodeFailed, err)
			return
		}
		r.Reply(&peerapi.Empty{})
	})
}

// sendClosures tells the attached nodes among the given ones which of their upstreams have closed. A node that was
// restarted may have attached before this instance had applied the log.
func (d *Distribution) sendClosures(nodes []string) {
	for _, node := range nodes {
		d.mu.Lock()
		e := d.byNode[node]
		d.mu.Unlock()
		if e == nil {
			continue // it is told in the reply to its hello
		}
		if err := e.conn.Notify(peerapi.NodeClosures, &peerapi.Closures{Closures: d.closures.Closures(node)}); err != nil {
			d.c.Log.Log(evSendError).Str("node", node).Err(err).Send()
			e.conn.Close()
		}
	}
}

// onClose ends a session. The lease of the node's endpoint starts to expire unless the node
// already has a newer session with this instance.
func (d *Distribution) onClose(c *rpc.Conn) {
	d.mu.Lock()
	e := d.sessions[c.ID()]
	delete(d.sessions, c.ID())
	isCurrent, incarnation := false, uint64(0)
	if e != nil {
		d.admission.removeWaiting(c.ID())
		incarnation = e.incarnation
		if isCurrent = d.byNode[e.node] == e; isCurrent {
			delete(d.byNode, e.node)
		}
	}
	d.mu.Unlock()
	if e == nil {
		return
	}
	d.c.Log.Log(evDetached).Str("node", e.node).Send()
	if isCurrent {
		d.discovery.Detach(e.node, incarnation)
	}
}

// refuseMessage logs an invalid message and answers it with an error.
func (d *Distribution) refuseMessage(c *rpc.Conn, r *rpc.Request, err error) {
	d.c.Log.Log(evMessageRefused).Str("process", c.Peer).Err(err).Send()
	r.ReplyError(rpc.CodeInvalidParams, err)
}
