package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// remote is the sending side towards another control instance. At most one
// message is unanswered; changes gather meanwhile. Guarded by Discovery.mu.
type remote struct {
	name string
	link *peer.Link
	conn *rpc.Conn
	busy bool
	// resync makes the next message carry all records.
	resync bool
	seq    uint64
	dirty  map[string]bool
	// acked is the last flush that the instance has confirmed.
	acked uint64
	sent  time.Time
}

// waiter waits until a flush has reached the watchers and all connected instances.
type waiter struct {
	gen   uint64
	done  func()
	timer interface{ Stop() bool }
}

// connect keeps a connection to another instance.
func (d *Discovery) connect(m peer.Member) {
	t := &remote{name: m.Name, dirty: map[string]bool{}}
	d.mu.Lock()
	if d.remotes[m.Name] != nil || m.Name == d.c.Instance.Name {
		d.mu.Unlock()
		return
	}
	d.remotes[m.Name] = t
	d.mu.Unlock()
	link := d.peer.Connect(m.Address, func(c *rpc.Conn) {
		if c.Peer != t.name {
			d.c.Log.Log(evInvalid).Str("process", c.Peer).Str("expected", t.name).Send()
			c.Close()
			return
		}
		d.mu.Lock()
		t.conn, t.busy, t.resync = c, false, true
		d.mu.Unlock()
		d.send(t, true)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	t.link = link
}

// onClose runs for every connection of the process.
func (d *Discovery) onClose(c *rpc.Conn) {
	d.mu.Lock()
	if t := d.remotes[c.Peer]; t != nil && t.conn == c {
		t.conn = nil
	}
	d.mu.Unlock()
	d.release()
}

// Conn returns the connection to another control instance, or nil.
func (d *Discovery) Conn(instance string) *rpc.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.remotes[instance]; t != nil {
		return t.conn
	}
	return nil
}

// Conns returns the connections to the other control instances.
func (d *Discovery) Conns() []*rpc.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*rpc.Conn
	for _, t := range d.remotes {
		if t.conn != nil {
			out = append(out, t.conn)
		}
	}
	return out
}

func (d *Discovery) sendAll(heartbeat bool) {
	d.mu.Lock()
	list := make([]*remote, 0, len(d.remotes))
	for _, t := range d.remotes {
		list = append(list, t)
	}
	d.mu.Unlock()
	for _, t := range list {
		d.send(t, heartbeat)
	}
}

// send sends what the instance has not been told of; with heartbeat, an empty
// message when the last one is long ago.
func (d *Discovery) send(t *remote, heartbeat bool) {
	released, now := d.released(), d.c.Clock.Now()
	d.mu.Lock()
	due := t.resync || len(t.dirty) > 0 || heartbeat && now.Sub(t.sent) >= d.s.Heartbeat.D()
	if t.conn == nil || t.busy || !due {
		d.mu.Unlock()
		return
	}
	t.busy, t.sent = true, now
	t.seq++
	m := &peerapi.Records{Instance: d.c.Instance.Name, AvailabilityZone: d.c.Instance.AvailabilityZone, Epoch: d.epoch, Seq: t.seq, Version: released}
	method := peerapi.DiscoveryDelta
	if t.resync {
		method, t.resync = peerapi.DiscoverySync, false
		m.Records, m.Others = d.table.full(t.name)
		m.Settled = d.settled
	} else {
		m.Records = d.table.of(t.dirty)
	}
	clear(t.dirty)
	conn, gen := t.conn, d.gen
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), d.s.PeerTimeout.D())
	conn.Go(ctx, method, m, func(raw []byte, err error) {
		cancel()
		d.c.Go("discovery/remote/"+t.name, func() { d.answered(t, conn, gen, raw, err) })
	})
}

// answered handles the answer to a message.
func (d *Discovery) answered(t *remote, conn *rpc.Conn, gen uint64, raw []byte, err error) {
	var r peerapi.RecordsReply
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	if err != nil {
		conn.Close() // the link connects again and sends all records
	}
	d.mu.Lock()
	if t.conn != conn {
		d.mu.Unlock()
		return
	}
	t.busy = false
	t.resync = t.resync || r.Resync || err != nil
	if err == nil && !r.Resync {
		t.acked = max(t.acked, gen)
	}
	d.mu.Unlock()
	d.release()
	if err == nil {
		d.send(t, false)
	}
}

func (d *Discovery) onDelta(c *rpc.Conn, r *rpc.Request) {
	m, ok := d.records(c, r)
	if !ok {
		return
	}
	now := d.c.Clock.Now()
	d.mu.Lock()
	d.trace.Record("discovery", "delta", now, m.Instance, m)
	complete := d.table.delta(m, now)
	d.mu.Unlock()
	if !complete {
		d.resyncs.Inc()
		d.c.Log.Log(evResync).Str("sender", m.Instance).Send()
	}
	d.received(r, m, &peerapi.RecordsReply{Resync: !complete})
}

func (d *Discovery) onSync(c *rpc.Conn, r *rpc.Request) {
	m, ok := d.records(c, r)
	if !ok {
		return
	}
	now := d.c.Clock.Now()
	d.mu.Lock()
	d.trace.Record("discovery", "sync", now, m.Instance, m)
	d.table.sync(m, now)
	d.mu.Unlock()
	d.received(r, m, &peerapi.RecordsReply{})
}

// received passes merged records on. An empty heartbeat causes no flush. When an
// endpoint leaves, the answer tells that the watchers know.
func (d *Discovery) received(r *rpc.Request, m *peerapi.Records, reply *peerapi.RecordsReply) {
	d.reported(m.Version)
	if urgent(m) && d.c.Next(flushKey, func() { d.flush(); r.Reply(reply) }) == nil {
		return
	}
	d.mu.Lock()
	dirty := len(d.table.dirty) > 0 || !d.settled
	d.mu.Unlock()
	if dirty {
		d.schedule(false)
	}
	r.Reply(reply)
}

func (d *Discovery) records(c *rpc.Conn, r *rpc.Request) (*peerapi.Records, bool) {
	m := &peerapi.Records{}
	err := r.Decode(m)
	if err == nil && m.Instance == c.Peer {
		d.peer.LearnName(m.Instance, m.AvailabilityZone)
	}
	if err == nil && !d.instance(c, m.Instance) {
		err = errors.Newf("process %q is not control instance %q of the settings", c.Peer, m.Instance)
	}
	if err != nil {
		d.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		r.Fail(rpc.CodeMalformed, err)
		return nil, false
	}
	return m, true
}

// Spread calls done once all announcements made so far have been handed to the
// watchers and confirmed by every connected instance, at the latest after
// SpreadTimeout.
func (d *Discovery) Spread(done func()) {
	w := &waiter{done: done}
	d.mu.Lock()
	w.gen = d.gen
	if len(d.table.changed) > 0 {
		w.gen++
	}
	d.waiters = append(d.waiters, w)
	w.timer = d.c.After(d.s.SpreadTimeout.D(), "discovery/spread", func() {
		if d.drop(w) {
			d.c.Log.Log(evSpreadTO).Send()
			w.done()
		}
	})
	d.mu.Unlock()
	d.schedule(true)
}

// drop removes a waiter and reports whether it was still waiting.
func (d *Discovery) drop(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, o := range d.waiters {
		if o == w {
			d.waiters = append(d.waiters[:i], d.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// release calls the waiters whose flush has spread.
func (d *Discovery) release() {
	d.mu.Lock()
	spread := d.shown
	for _, t := range d.remotes {
		if t.conn != nil {
			spread = min(spread, t.acked)
		}
	}
	var ready []*waiter
	left := d.waiters[:0]
	for _, w := range d.waiters {
		if w.gen <= spread {
			ready = append(ready, w)
		} else {
			left = append(left, w)
		}
	}
	d.waiters = left
	d.mu.Unlock()
	for _, w := range ready {
		w.timer.Stop()
		w.done()
	}
}
