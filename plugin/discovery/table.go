package discovery

import (
	"sort"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// record is the record of one node with the local state of its lease.
type record struct {
	peerapi.Record
	// expiringSince is when the lease started to expire; zero while it is renewed.
	expiringSince time.Time
	// endedAt is when the record was withdrawn or lost; zero while it is alive.
	endedAt time.Time
	// presumedLost is set when this instance, which does not own the record, considers the lease
	// lost. It is not sent to other instances, and is cleared when the owner lists the record as
	// alive.
	presumedLost bool
	// recorded holds the closures of the node's upstreams in the replicated log. Each instance has them from there.
	recorded []resource.Closure
}

// State returns the state of the endpoint; see peerapi.Record. A closure in the replicated log counts like one of the record.
func (r *record) State() resource.EndpointState {
	state := r.Record.State()
	for _, c := range r.recorded {
		if state != resource.StateGone && c.Covers(r.Upstream) {
			state = c.State()
		}
	}
	return state
}

func (r *record) isLost() bool { return r.Lost || r.presumedLost }

func (r *record) isAlive() bool { return !r.isLost() && r.State() != resource.StateGone }

// owner is the state of another control instance, as seen from its messages.
type owner struct {
	epoch, seq     uint64
	lastReceivedAt time.Time
	// silent is set until the owner has sent all its records, and again when it has sent no message
	// for PeerTimeout. The records of a silent owner are stale.
	silent bool
	// synced is set once the owner has sent all its records. settled is set if the owner's table
	// was complete when the owner sent them.
	synced, settled bool
}

// table decides which record of a node is the current one and which endpoints are visible. It
// does no I/O and reads no clock. It is not safe for concurrent use.
type table struct {
	self string
	// records maps each node to its record.
	records map[string]*record
	// services maps each service to the records of its endpoints, by node.
	services map[string]map[string]*record
	// owners maps the names of the other control instances to their state.
	owners map[string]*owner
	// dirtyServices holds the services whose sets may have changed.
	dirtyServices map[string]bool
	// closures holds, by node, the closures in the replicated log.
	closures map[string][]resource.Closure
	// changedNodes holds the nodes whose records must be sent to other instances.
	changedNodes map[string]bool
}

func newTable(self string, others []string) *table {
	t := &table{
		self: self, records: map[string]*record{}, services: map[string]map[string]*record{},
		owners: map[string]*owner{}, dirtyServices: map[string]bool{}, changedNodes: map[string]bool{},
		closures: map[string][]resource.Closure{},
	}
	for _, o := range others {
		t.owners[o] = &owner{silent: true}
	}
	return t
}

// announce stores the record of an attached node. If a newer record is known, announce returns
// false and the incarnation that the node's next announcement must exceed.
func (t *table) announce(a resource.Announcement, now time.Time) (knownIncarnation uint64, ok bool) {
	e := a.Endpoint
	n := peerapi.Record{Endpoint: e, Owner: t.self, Upstream: a.Upstream, Closed: a.Closed}
	old := t.records[e.Node]
	if old == nil || n.Newer(&old.Record) {
		t.store(n, now, time.Time{})
		return e.Incarnation, true
	}
	same := old.Endpoint.Incarnation == e.Incarnation && old.Endpoint.Revision == e.Revision
	if same && old.Owner == t.self && !old.Lost {
		old.expiringSince = time.Time{}
		return e.Incarnation, true // repeated announcement
	}
	return old.Endpoint.Incarnation, false
}

// merge stores a record received from another instance if it is newer. A record that this instance
// owns starts to expire, and so does a record sent by an instance other than its owner, unless the
// owner is unknown, silent or has not sent its records yet: the owner may have lost the record in a
// restart. An owner that still has the record lists it as alive, which stops the expiry.
func (t *table) merge(sender string, r peerapi.Record, now time.Time) {
	old := t.records[r.Endpoint.Node]
	if old != nil && !r.Newer(&old.Record) {
		t.addClosure(old, r.Closed, now)
		if old.Newer(&r) || old.Closed != r.Closed {
			t.changedNodes[r.Endpoint.Node] = true // the sender lacks the newer record
		}
		return
	}
	expiringSince := time.Time{}
	if o := t.owners[r.Owner]; r.Owner == t.self || r.Owner != sender && o != nil && o.synced && !o.silent {
		expiringSince = now
	}
	t.store(r, now, expiringSince)
}

// store replaces the record of a node and marks the affected services as dirty.
func (t *table) store(r peerapi.Record, now, expiringSince time.Time) {
	n := &record{Record: r, expiringSince: expiringSince, recorded: t.closures[r.Endpoint.Node]}
	if old := t.records[r.Endpoint.Node]; old != nil {
		if n.Closed = r.Closed.Join(old.Closed); n.Closed != r.Closed {
			t.changedNodes[r.Endpoint.Node] = true // the sender lacks the closure
		}
	}
	if !n.isAlive() {
		n.endedAt = now
	}
	node, service := r.Endpoint.Node, r.Endpoint.Service
	// If the record replaces one that this instance owned, this instance sends it to the others:
	// the new owner may have restarted before it sent the record itself.
	if old := t.records[node]; r.Owner == t.self || old != nil && old.Owner == t.self {
		t.changedNodes[node] = true
	}
	if old := t.records[node]; old != nil {
		t.unlink(old)
		if !equalExceptRevision(old, n) {
			t.dirtyServices[old.Endpoint.Service] = true
		}
	}
	t.records[node] = n
	if t.services[service] == nil {
		t.services[service] = map[string]*record{}
	}
	t.services[service][node] = n
	t.dirtyServices[service] = true
}

// addClosure adds a closure to a record that stays the current one.
func (t *table) addClosure(r *record, c resource.Closure, now time.Time) {
	joined := r.Closed.Join(c)
	if joined == r.Closed {
		return
	}
	wasAlive := r.isAlive()
	r.Closed = joined
	if wasAlive && !r.isAlive() {
		r.endedAt = now
	}
	t.dirtyServices[r.Endpoint.Service] = true
	t.changedNodes[r.Endpoint.Node] = true
}

// setClosures replaces the closures of a node in the replicated log.
func (t *table) setClosures(node string, closures []resource.Closure, now time.Time) {
	if len(closures) == 0 {
		delete(t.closures, node)
	} else {
		t.closures[node] = closures
	}
	r := t.records[node]
	if r == nil {
		return
	}
	before, wasAlive := r.State(), r.isAlive()
	r.recorded = closures
	if wasAlive && !r.isAlive() {
		r.endedAt = now
	}
	if r.State() != before {
		t.dirtyServices[r.Endpoint.Service] = true
	}
}

func (t *table) unlink(r *record) {
	nodes := t.services[r.Endpoint.Service]
	delete(nodes, r.Endpoint.Node)
	if len(nodes) == 0 {
		delete(t.services, r.Endpoint.Service)
	}
}

// shiftTimers moves all timers forward by the time for which this process was paused: messages
// that renew leases may still be unread.
func (t *table) shiftTimers(d time.Duration) {
	for _, r := range t.records {
		if !r.expiringSince.IsZero() {
			r.expiringSince = r.expiringSince.Add(d)
		}
	}
	for _, o := range t.owners {
		o.lastReceivedAt = o.lastReceivedAt.Add(d)
	}
}

// equalExceptRevision reports whether two records of a node have the same owner, the same lost
// state, and the same endpoint apart from its revision.
func equalExceptRevision(a, b *record) bool {
	return a.isLost() == b.isLost() && a.Owner == b.Owner && a.State() == b.State() && peerapi.WithoutRevision(a.Endpoint) == peerapi.WithoutRevision(b.Endpoint)
}

// detach starts the expiry of the lease of a node whose session ended. It does not affect a record
// that has a different incarnation or that another instance has come to own.
func (t *table) detach(node string, incarnation uint64, now time.Time) {
	r := t.records[node]
	if r == nil || r.Owner != t.self || r.Endpoint.Incarnation != incarnation || !r.isAlive() || !r.expiringSince.IsZero() {
		return
	}
	r.expiringSince = now
}

// expireRecords marks the leases whose grace time has passed as lost, and removes tombstones after
// their TTL. Records that this instance does not own get twice the grace time, because their
// nodes may still be connecting to another instance. It returns the nodes whose leases were lost.
func (t *table) expireRecords(now time.Time, grace, tombstoneTTL time.Duration) (lost []string) {
	for node, r := range t.records {
		expiryDelay := grace
		if r.Owner != t.self {
			expiryDelay *= 2
		}
		if r.isAlive() && !r.expiringSince.IsZero() && now.Sub(r.expiringSince) >= expiryDelay {
			t.markLeaseLost(r, now)
			lost = append(lost, node)
			continue
		}
		if !r.isAlive() && now.Sub(r.endedAt) >= tombstoneTTL && !t.isKept(r) {
			delete(t.records, node)
			t.unlink(r)
		}
	}
	sort.Strings(lost)
	return lost
}

// markLeaseLost marks the lease of a record as lost. If this instance owns the record, the loss
// applies to all instances and is sent to them. Otherwise this instance only presumes the loss,
// until the owner lists the record as alive.
func (t *table) markLeaseLost(r *record, now time.Time) {
	if r.Owner != t.self {
		r.presumedLost, r.endedAt = true, now
		t.dirtyServices[r.Endpoint.Service] = true
		t.changedNodes[r.Endpoint.Node] = true // an instance that restarted may lack the record
		return
	}
	n := r.Record
	n.Lost = true
	t.store(n, now, r.expiringSince)
}

// confirmAlive stops the expiry of a record that its owner lists as alive.
func (t *table) confirmAlive(r *record) {
	if r.expiringSince.IsZero() && !r.presumedLost {
		return
	}
	r.expiringSince, r.endedAt, r.presumedLost = time.Time{}, time.Time{}, false
	t.dirtyServices[r.Endpoint.Service] = true
}

// isKept reports whether the record is lost but stays visible in its endpoint set.
func (t *table) isKept(r *record) bool {
	return r.isLost() && t.shouldKeepLost(r.Endpoint.Service)
}

// shouldKeepLost reports whether the endpoint set of a service keeps its lost records, so that the
// loss of many leases at once does not empty the set. While a set has more lost records than records
// that are alive and not draining, all lost records stay in it as stale; otherwise none does.
func (t *table) shouldKeepLost(service string) bool {
	lost, alive := 0, 0
	for _, r := range t.services[service] {
		switch {
		case r.isLost():
			lost++
		case r.isAlive() && r.State() != resource.StateDraining:
			alive++
		}
	}
	return lost > alive
}

// nodesServedBy returns the nodes whose record the named instance owns, except those that have
// withdrawn. It includes nodes whose lease is lost: they may still run without a control instance.
func (t *table) nodesServedBy(owner string) []string {
	var nodes []string
	for node, r := range t.records {
		if r.Owner == owner && r.State() != resource.StateGone {
			nodes = append(nodes, node)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// endpointSet returns the visible endpoints of a service, sorted by node.
func (t *table) endpointSet(service string) resource.EndpointSet {
	keep := t.shouldKeepLost(service)
	out := resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}
	for _, r := range t.services[service] {
		if r.State() == resource.StateGone || r.isLost() && !keep {
			continue
		}
		e := peerapi.WithoutRevision(r.Endpoint)
		e.State = r.State()
		e.Stale = r.isLost() || t.isStale(r)
		out.Endpoints = append(out.Endpoints, e)
	}
	sort.Slice(out.Endpoints, func(i, j int) bool { return out.Endpoints[i].Node < out.Endpoints[j].Node })
	return out
}

// isStale reports whether a record of another instance may be out of date: its owner is unknown
// or silent, or the lease is expiring.
func (t *table) isStale(r *record) bool {
	if r.Owner == t.self {
		return false
	}
	o := t.owners[r.Owner]
	return o == nil || o.silent || !r.expiringSince.IsZero()
}

// isUrgent reports whether a message carries a change that must be passed on immediately: an
// endpoint that is draining or gone.
func isUrgent(m *peerapi.Records) bool {
	for i := range m.Records {
		if s := m.Records[i].State(); s == resource.StateDraining || s == resource.StateGone {
			return true
		}
	}
	return false
}
