package distribution

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// onHello opens the session of a node.
func (d *Distribution) onHello(c *rpc.Conn, r *rpc.Request) {
	h := &peerapi.Hello{}
	err := r.Decode(h)
	if err == nil && (h.Node != c.Peer || h.Node == "") {
		err = errors.Newf("process %q says hello as node %q", c.Peer, h.Node)
	}
	if err != nil {
		d.refuse(c, r, err)
		return
	}
	now := d.c.Clock.Now()
	reply := &peerapi.HelloReply{Instance: d.c.Instance.Name, Isolated: d.isolated(now), Instances: d.instances()}
	if h.Probe {
		r.Reply(reply)
		return
	}
	d.trace.Record("distribution", "hello", now, h.Node, h)
	e := &entry{session: newSession(h), conn: c}
	e.group = groupOf(e.session)
	e.heard.Store(now.UnixNano())
	start := d.attach(e, h, now)
	d.c.Log.Log(evAttached).Str("node", h.Node).Uint("version", uint64(h.Version)).Send()
	if h.Version == 0 {
		reply.Waiting = "the instance confirms that its configuration is current"
	}
	r.Reply(reply)
	if start {
		d.barrier()
	}
}

// instances names the control instances of an open fleet, this one included.
func (d *Distribution) instances() []peerapi.Instance {
	if !d.peer.Open() {
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

// isolated reports whether this instance has lost the quorum. One that has just
// started gets the same time to find it: when all instances return together, their
// nodes would otherwise all move before the first election ends.
func (d *Distribution) isolated(now time.Time) bool {
	since := d.log.Status().Confirmed
	if since.Before(d.started) {
		since = d.started
	}
	return now.Sub(since) > d.s.IsolatedAfter.D()
}

// attach enters a session into the table and reports whether a linearizable
// read has to begin for it.
func (d *Distribution) attach(e *entry, h *peerapi.Hello, now time.Time) (start bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sessions[e.conn.ID()] = e
	d.byNode[e.node] = e
	if e.zone == d.c.Instance.AvailabilityZone {
		d.admission.report(h.Version)
	}
	if h.Version == 0 {
		return d.admission.wait(e.conn.ID())
	}
	e.admitted = true
	d.paceOut(e, now)
	return false
}

// paceOut schedules the first update of an admitted session. It is called with
// mu held.
func (d *Distribution) paceOut(e *entry, now time.Time) {
	delay := d.pace.ReserveN(now, 1).DelayFrom(now)
	d.c.After(delay, "distribution/resume", func() {
		d.mu.Lock()
		e.paced = true
		d.mu.Unlock()
		d.follow()
		d.push(e)
	})
}

// barrier runs one linearizable read for all sessions that wait for it.
func (d *Distribution) barrier() {
	d.log.Barrier(d.s.BarrierTimeout.D(), func(err error) {
		version, released := d.catalog.Version(), d.log.Released()
		now := d.c.Clock.Now()
		d.mu.Lock()
		v := d.admission.read(err == nil, version, released)
		for _, id := range v.admitted {
			if e := d.sessions[id]; e != nil {
				e.admitted, e.min = true, v.min
				d.paceOut(e, now)
			}
		}
		waiting := len(d.admission.waiting) + len(d.admission.next)
		again := waiting > 0 && v.reason == "" && d.admission.begin()
		d.mu.Unlock()
		if again {
			d.barrier()
			return
		}
		if v.reason != "" && waiting > 0 {
			d.c.Log.Log(evWaiting).Int("nodes", waiting).Str("reason", v.reason).Err(err).Send()
		}
		if v.reason != "" {
			d.c.After(d.s.BarrierRetry.D(), "distribution/barrier", d.retryBarrier)
		}
	})
}

func (d *Distribution) retryBarrier() {
	d.mu.Lock()
	again := d.admission.begin()
	d.mu.Unlock()
	if again {
		d.barrier()
	}
}

// session returns the session of a connection, or nil.
func (d *Distribution) session(c *rpc.Conn) *entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.sessions[c.ID()]
	if e != nil {
		e.heard.Store(d.c.Clock.Now().UnixNano())
	}
	return e
}

func (d *Distribution) onAck(c *rpc.Conn, r *rpc.Request) {
	a := &peerapi.Ack{}
	e := d.session(c)
	err := r.Decode(a)
	if err == nil && e == nil {
		err = errors.Newf("process %q has no session", c.Peer)
	}
	if err != nil {
		d.refuse(c, r, err)
		return
	}
	d.trace.Record("distribution", "ack", d.c.Clock.Now(), e.node, a)
	d.mu.Lock()
	known := e.ack(a)
	if e.zone == d.c.Instance.AvailabilityZone {
		d.admission.report(a.Version)
	}
	d.mu.Unlock()
	if a.Rejected != "" {
		d.rejections.Inc()
		d.c.Log.Log(evRejected).Str("node", e.node).Uint("held_version", uint64(a.Version)).Str("reason", a.Rejected).Send()
	}
	if known {
		d.push(e)
	}
}

func (d *Distribution) onPing(c *rpc.Conn, r *rpc.Request) {
	p := &peerapi.Ping{}
	e := d.session(c)
	err := r.Decode(p)
	if err == nil && e == nil {
		err = errors.Newf("process %q has no session", c.Peer)
	}
	if err != nil {
		d.refuse(c, r, err)
		return
	}
	if e.zone == d.c.Instance.AvailabilityZone {
		d.reported(p.Version)
	}
	if p.Report != nil {
		d.capacity.Report(e.node, *p.Report)
	}
	r.Reply(&peerapi.Pong{Isolated: d.isolated(d.c.Clock.Now()), Loads: d.capacity.Loads(p.Calls)})
}

// onAnnounce takes the record of the node's upstream. A withdrawal and the start
// of draining are answered once they have spread.
func (d *Distribution) onAnnounce(c *rpc.Conn, r *rpc.Request) {
	a := &peerapi.Announce{}
	e := d.session(c)
	err := r.Decode(a)
	switch {
	case err != nil:
	case e == nil:
		err = errors.Newf("process %q has no session", c.Peer)
	case a.Endpoint.Node != e.node || a.Endpoint.Service == "":
		err = errors.Newf("node %q announces node %q, service %q", e.node, a.Endpoint.Node, a.Endpoint.Service)
	}
	if err != nil {
		d.refuse(c, r, err)
		return
	}
	known, ok := d.discovery.Announce(a.Endpoint)
	if ok {
		d.mu.Lock()
		e.incarnation = a.Endpoint.Incarnation // may exceed that of the hello
		d.mu.Unlock()
	}
	reply := &peerapi.AnnounceReply{OK: ok, Known: known}
	if s := a.Endpoint.State; ok && (s == resource.StateDraining || s == resource.StateGone) {
		d.discovery.Spread(func() {
			if d.c.Next(pushKey, func() { d.pushAll(); r.Reply(reply) }) != nil {
				r.Reply(reply)
			}
		})
		return
	}
	r.Reply(reply)
}

// onClose ends a session. Its lease begins to run out unless the node already
// has a newer session here.
func (d *Distribution) onClose(c *rpc.Conn) {
	d.mu.Lock()
	e := d.sessions[c.ID()]
	delete(d.sessions, c.ID())
	current, incarnation := false, uint64(0)
	if e != nil {
		d.admission.forget(c.ID())
		incarnation = e.incarnation
		if current = d.byNode[e.node] == e; current {
			delete(d.byNode, e.node)
		}
	}
	d.mu.Unlock()
	if e == nil {
		return
	}
	d.c.Log.Log(evDetached).Str("node", e.node).Send()
	if current {
		d.discovery.Detach(e.node, incarnation)
	}
}

func (d *Distribution) refuse(c *rpc.Conn, r *rpc.Request, err error) {
	d.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
	r.Fail(rpc.CodeMalformed, err)
}
