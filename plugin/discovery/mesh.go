package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// remote is the state for sending to another control instance. At most one message awaits
// its reply; changes are collected until the reply arrives. Guarded by Discovery.mu.
type remote struct {
	name string
	link *peer.Link
	conn *rpc.Conn
	// disconnectedAt is the time at which the last connection ended, or at which the instance was
	// learned of; it is not used while conn is set.
	disconnectedAt time.Time
	awaitingReply  bool
	// resync makes the next message carry all records.
	resync bool
	// seq is the sequence number of the last message sent.
	seq uint64
	// unsentNodes holds the nodes whose changed records have not been sent to the instance yet.
	unsentNodes map[string]bool
	// ackedGen is the number of the newest flush that the instance has confirmed.
	ackedGen uint64
	lastSent time.Time
}

// waiter holds a callback until a flush has reached the watchers and all connected instances.
type waiter struct {
	// gen is the number of the flush that the waiter waits for.
	gen   uint64
	done  func()
	timer interface{ Stop() bool }
}

// connect opens a connection to another instance and reopens it whenever it is closed. It does
// nothing if m is this instance or connect was called for it before.
func (d *Discovery) connect(m peer.Member) {
	t := &remote{name: m.Name, unsentNodes: map[string]bool{}, disconnectedAt: d.c.Clock.Now()}
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
		t.conn, t.awaitingReply, t.resync = c, false, true
		d.mu.Unlock()
		d.send(t, true)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	t.link = link
}

// onClose records that another instance is no longer connected, if c was the connection to it, and
// releases the waiters that waited only for its confirmation.
func (d *Discovery) onClose(c *rpc.Conn) {
	d.mu.Lock()
	if t := d.remotes[c.Peer]; t != nil && t.conn == c {
		t.conn, t.disconnectedAt = nil, d.c.Clock.Now()
	}
	d.mu.Unlock()
	d.releaseWaiters()
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

// Unreachable returns, in ascending order, the names of the known control instances to which there has
// been no connection for at least minTime.
func (d *Discovery) Unreachable(minTime time.Duration) []string {
	now := d.c.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for name, t := range d.remotes {
		if t.conn == nil && now.Sub(t.disconnectedAt) >= minTime {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (d *Discovery) sendAll(heartbeat bool) {
	d.mu.Lock()
	remotes := make([]*remote, 0, len(d.remotes))
	for _, t := range d.remotes {
		remotes = append(remotes, t)
	}
	d.mu.Unlock()
	for _, t := range remotes {
		d.send(t, heartbeat)
	}
}

// send sends the records that have changed since the last message to the instance, or all records if
// resync is set. If nothing has changed, it sends an empty message, but only if heartbeat is true and
// the time of the Heartbeat setting has passed since the last message. It does nothing while there is
// no connection to the instance or a reply is awaited.
func (d *Discovery) send(t *remote, heartbeat bool) {
	ownVersion, now := d.ownVersion(), d.c.Clock.Now()
	d.mu.Lock()
	due := t.resync || len(t.unsentNodes) > 0 || heartbeat && now.Sub(t.lastSent) >= d.s.Heartbeat.AsDuration()
	if t.conn == nil || t.awaitingReply || !due {
		d.mu.Unlock()
		return
	}
	t.awaitingReply, t.lastSent = true, now
	t.seq++
	m := &peerapi.Records{Instance: d.c.Instance.Name, AvailabilityZone: d.c.Instance.AvailabilityZone, Epoch: d.epoch, Seq: t.seq, Version: ownVersion}
	method := peerapi.DiscoveryDelta
	if t.resync {
		method, t.resync = peerapi.DiscoverySync, false
		m.Records, m.Others = d.table.syncRecords(t.name)
		m.TableComplete = d.settled
	} else {
		m.Records = d.table.recordsOf(t.unsentNodes)
	}
	clear(t.unsentNodes)
	conn, gen := t.conn, d.flushGen
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), d.s.PeerTimeout.AsDuration())
	conn.CallAsync(ctx, method, m, func(raw []byte, err error) {
		cancel()
		d.c.Go("discovery/remote/"+t.name, func() { d.handleReply(t, conn, gen, raw, err) })
	})
}

// handleReply processes the reply to a message that carried the changes of all flushes up to gen. If
// the reply is malformed or does not arrive in time, the connection is closed.
func (d *Discovery) handleReply(t *remote, conn *rpc.Conn, gen uint64, raw []byte, err error) {
	var r peerapi.RecordsReply
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	if err != nil {
		conn.Close() // the link reconnects, and all records are sent again
	}
	d.mu.Lock()
	if t.conn != conn {
		d.mu.Unlock()
		return
	}
	t.awaitingReply = false
	if r.KnownEpoch >= d.epoch {
		d.raiseEpoch(r.KnownEpoch)
	}
	t.resync = t.resync || r.Resync || err != nil
	if err == nil && !r.Resync && r.KnownEpoch == 0 {
		t.ackedGen = max(t.ackedGen, gen)
	}
	d.mu.Unlock()
	d.releaseWaiters()
	if err == nil {
		d.send(t, false)
	}
}

// raiseEpoch sets the epoch above one that another instance knows of an earlier start of this one, and sends all records in
// it. The caller holds mu.
func (d *Discovery) raiseEpoch(known uint64) {
	d.epoch = known + 1
	for _, t := range d.remotes {
		t.resync = true
	}
	d.c.Log.Log(evEpoch).Uint("known", known).Send()
}

func (d *Discovery) onDelta(c *rpc.Conn, r *rpc.Request) {
	m, ok := d.decodeRecords(c, r)
	if !ok {
		return
	}
	now := d.c.Clock.Now()
	d.mu.Lock()
	d.trace.Record("discovery", "delta", now, m.Instance, m)
	complete := d.table.applyDelta(m, now)
	known := d.table.newerEpoch(m.Instance, m.Epoch)
	d.mu.Unlock()
	if !complete {
		d.resyncs.Inc()
		d.c.Log.Log(evResync).Str("sender", m.Instance).Send()
	}
	d.propagate(r, m, &peerapi.RecordsReply{Resync: !complete, KnownEpoch: known})
}

func (d *Discovery) onSync(c *rpc.Conn, r *rpc.Request) {
	m, ok := d.decodeRecords(c, r)
	if !ok {
		return
	}
	now := d.c.Clock.Now()
	d.mu.Lock()
	d.trace.Record("discovery", "sync", now, m.Instance, m)
	d.table.applySync(m, now)
	known := d.table.newerEpoch(m.Instance, m.Epoch)
	d.mu.Unlock()
	d.propagate(r, m, &peerapi.RecordsReply{KnownEpoch: known})
}

// propagate schedules a flush for the merged records of a message and replies to the sender. An empty
// heartbeat causes no flush. If an endpoint of the message is draining or gone, the reply is sent
// after the watchers have been notified.
func (d *Discovery) propagate(r *rpc.Request, m *peerapi.Records, reply *peerapi.RecordsReply) {
	d.onPeerVersion(m.Version)
	if isUrgent(m) && d.c.TryGo(flushKey, func() { d.flush(); r.Reply(reply) }) == nil {
		return
	}
	d.mu.Lock()
	dirty := len(d.table.dirtyServices) > 0 || !d.settled
	d.mu.Unlock()
	if dirty {
		d.scheduleFlush(false)
	}
	r.Reply(reply)
}

// decodeRecords decodes a message and checks that its sender is a known control instance.
// Otherwise it replies with an error and returns false.
func (d *Discovery) decodeRecords(c *rpc.Conn, r *rpc.Request) (*peerapi.Records, bool) {
	m, skipped, err := decodeRecords(r.Params)
	if err == nil && m.Instance == c.Peer {
		d.peer.LearnByName(m.Instance, m.AvailabilityZone)
	}
	if err == nil && !d.isKnownInstance(c, m.Instance) {
		err = errors.Newf("process %q is not the control instance %q named in the settings", c.Peer, m.Instance)
	}
	if err != nil {
		d.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		r.ReplyError(rpc.CodeInvalidParams, err)
		return nil, false
	}
	d.logSkipped(c.Peer, skipped)
	return m, true
}

// logSkipped logs that records of a sender were left out, once until a message of the sender has no
// such record: the sender repeats them with each sync.
func (d *Discovery) logSkipped(sender string, s skippedRecords) {
	d.mu.Lock()
	logged := d.skippedFrom[sender]
	if s.count == 0 {
		delete(d.skippedFrom, sender)
	} else if len(d.skippedFrom) < maxSkippedSenders {
		d.skippedFrom[sender] = true
	}
	d.mu.Unlock()
	if s.count > 0 && !logged {
		d.c.Log.Log(evSkipped).Str("sender", sender).Int("records", s.count).Err(s.cause).Send()
	}
}

// maxSkippedSenders bounds the senders whose skipped records are remembered as logged.
const maxSkippedSenders = 64

// AwaitPropagation calls done once the watchers have been notified of all announcements made before
// the call and every connected instance has confirmed these announcements, or after SpreadTimeout.
func (d *Discovery) AwaitPropagation(done func()) {
	w := &waiter{done: done}
	d.mu.Lock()
	w.gen = d.flushGen
	if len(d.table.changedNodes) > 0 {
		w.gen++
	}
	d.waiters = append(d.waiters, w)
	w.timer = d.c.RunAfter(d.s.SpreadTimeout.AsDuration(), "discovery/spread", func() {
		if d.removeWaiter(w) {
			d.c.Log.Log(evSpreadTimeout).Send()
			w.done()
		}
	})
	d.mu.Unlock()
	d.scheduleFlush(true)
}

// removeWaiter removes a waiter and reports whether it was present. If it was not, its callback is
// called by releaseWaiters or the timeout.
func (d *Discovery) removeWaiter(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.waiters {
		if other == w {
			d.waiters = append(d.waiters[:i], d.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// releaseWaiters calls done of the waiters whose flush has reached the watchers and all
// connected instances.
func (d *Discovery) releaseWaiters() {
	d.mu.Lock()
	confirmedGen := d.notifiedGen
	for _, t := range d.remotes {
		if t.conn != nil {
			confirmedGen = min(confirmedGen, t.ackedGen)
		}
	}
	var ready []*waiter
	remaining := d.waiters[:0]
	for _, w := range d.waiters {
		if w.gen <= confirmedGen {
			ready = append(ready, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	d.waiters = remaining
	d.mu.Unlock()
	for _, w := range ready {
		w.timer.Stop()
		w.done()
	}
}
