package discovery

import (
	"sort"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// record is one node's entry with what this instance knows locally of its lease.
type record struct {
	peerapi.Record
	// since is when the lease began to run out; zero while it is renewed.
	since time.Time
	// ended is when the record was withdrawn or lost; zero while it is alive.
	ended time.Time
	// doubted tells that this instance alone takes the lease for lost. It is not
	// passed on, and the owner's word ends it.
	doubted bool
}

func (r *record) lost() bool { return r.Lost || r.doubted }

func (r *record) alive() bool { return !r.lost() && r.Endpoint.State != resource.StateGone }

// owner is what is known of another control instance.
type owner struct {
	epoch, seq uint64
	heard      time.Time
	// silent marks all records of the owner as stale.
	silent bool
	// synced tells that all records of the epoch have arrived, and settled that the
	// owner's table was complete when it sent them.
	synced, settled bool
}

// table decides which record of a node holds and which endpoints are visible.
// It does no I/O and reads no clock; callers serialise its methods.
type table struct {
	self     string
	records  map[string]*record
	services map[string]map[string]*record
	owners   map[string]*owner
	// dirty holds services whose sets may have changed, changed the nodes of whose
	// records other instances have to be told.
	dirty   map[string]bool
	changed map[string]bool
}

func newTable(self string, others []string) *table {
	t := &table{
		self: self, records: map[string]*record{}, services: map[string]map[string]*record{},
		owners: map[string]*owner{}, dirty: map[string]bool{}, changed: map[string]bool{},
	}
	for _, o := range others {
		t.owners[o] = &owner{silent: true}
	}
	return t
}

// announce stores the record of an attached node. It returns the incarnation
// that the node must exceed and false when a newer record is known.
func (t *table) announce(e resource.Endpoint, now time.Time) (known uint64, ok bool) {
	n := peerapi.Record{Endpoint: e, Owner: t.self}
	old := t.records[e.Node]
	if old == nil || n.Newer(&old.Record) {
		t.put(n, now, time.Time{})
		return e.Incarnation, true
	}
	same := old.Endpoint.Incarnation == e.Incarnation && old.Endpoint.Revision == e.Revision
	if same && old.Owner == t.self && !old.Lost {
		old.since = time.Time{}
		return e.Incarnation, true // the same announcement came twice
	}
	return old.Endpoint.Incarnation, false
}

// merge stores a record received from another instance when it is newer. Unless
// its owner sent it or is silent, the record begins to run out: the owner may
// have lost it in a restart, and vouches for it otherwise.
func (t *table) merge(sender string, r peerapi.Record, now time.Time) {
	old := t.records[r.Endpoint.Node]
	if old != nil && !r.Newer(&old.Record) {
		if old.Newer(&r) {
			t.changed[r.Endpoint.Node] = true // the sender missed what replaced it
		}
		return
	}
	since := time.Time{}
	if o := t.owners[r.Owner]; r.Owner == t.self || r.Owner != sender && o != nil && o.synced && !o.silent {
		since = now
	}
	t.put(r, now, since)
}

func (t *table) put(r peerapi.Record, now, since time.Time) {
	n := &record{Record: r, since: since}
	if !n.alive() {
		n.ended = now
	}
	node, service := r.Endpoint.Node, r.Endpoint.Service
	// A former owner passes on what replaced its record: the new owner may have
	// restarted before it told the others.
	if old := t.records[node]; r.Owner == t.self || old != nil && old.Owner == t.self {
		t.changed[node] = true
	}
	if old := t.records[node]; old != nil {
		t.unlink(old)
		if !equalView(old, n) {
			t.dirty[old.Endpoint.Service] = true
		}
	}
	t.records[node] = n
	if t.services[service] == nil {
		t.services[service] = map[string]*record{}
	}
	t.services[service][node] = n
	t.dirty[service] = true
}

func (t *table) unlink(r *record) {
	nodes := t.services[r.Endpoint.Service]
	delete(nodes, r.Endpoint.Node)
	if len(nodes) == 0 {
		delete(t.services, r.Endpoint.Service)
	}
}

// pause moves all timers on by the time in which this process stood still:
// messages that renew leases may be waiting to be read.
func (t *table) pause(d time.Duration) {
	for _, r := range t.records {
		if !r.since.IsZero() {
			r.since = r.since.Add(d)
		}
	}
	for _, o := range t.owners {
		o.heard = o.heard.Add(d)
	}
}

func equalView(a, b *record) bool {
	return a.lost() == b.lost() && a.Owner == b.Owner && peerapi.Visible(a.Endpoint) == peerapi.Visible(b.Endpoint)
}

// detach starts the loss of the lease of an attached node. Records of another
// incarnation, or that another instance owns by now, are left alone.
func (t *table) detach(node string, incarnation uint64, now time.Time) {
	r := t.records[node]
	if r == nil || r.Owner != t.self || r.Endpoint.Incarnation != incarnation || !r.alive() || !r.since.IsZero() {
		return
	}
	r.since = now
}

// expire marks leases as lost whose grace time has passed and forgets
// tombstones. Records that this instance does not own get twice the grace time,
// because their nodes may still look for another instance.
func (t *table) expire(now time.Time, grace, tombstones time.Duration) (lost []string) {
	for node, r := range t.records {
		limit := grace
		if r.Owner != t.self {
			limit *= 2
		}
		if r.alive() && !r.since.IsZero() && now.Sub(r.since) >= limit {
			t.lose(r, now)
			lost = append(lost, node)
			continue
		}
		if !r.alive() && now.Sub(r.ended) >= tombstones && !t.kept(r) {
			delete(t.records, node)
			t.unlink(r)
		}
	}
	sort.Strings(lost)
	return lost
}

// lose ends a lease. Only the owner's loss is passed on to other instances.
func (t *table) lose(r *record, now time.Time) {
	if r.Owner != t.self {
		r.doubted, r.ended = true, now
		t.dirty[r.Endpoint.Service] = true
		t.changed[r.Endpoint.Node] = true // an instance that restarted may lack it
		return
	}
	n := r.Record
	n.Lost = true
	t.put(n, now, r.since)
}

// vouch ends doubts about a record that its owner names as alive.
func (t *table) vouch(r *record) {
	if r.since.IsZero() && !r.doubted {
		return
	}
	r.since, r.ended, r.doubted = time.Time{}, time.Time{}, false
	t.dirty[r.Endpoint.Service] = true
}

// kept reports whether a lost record is still visible.
func (t *table) kept(r *record) bool {
	return r.lost() && t.keepLost(r.Endpoint.Service)
}

// keepLost is the rule against emptying a set when many leases are lost at
// once: lost records leave the set only while at least as many of its endpoints
// remain alive and not draining. Otherwise all lost ones stay in it as stale.
func (t *table) keepLost(service string) bool {
	lost, alive := 0, 0
	for _, r := range t.services[service] {
		switch {
		case r.lost():
			lost++
		case r.alive() && r.Endpoint.State != resource.StateDraining:
			alive++
		}
	}
	return lost > alive
}

// servedBy returns the nodes of the named owner that did not withdraw. A lost
// lease does not remove a node: it may run on without a control instance.
func (t *table) servedBy(owner string) []string {
	var nodes []string
	for node, r := range t.records {
		if r.Owner == owner && r.Endpoint.State != resource.StateGone {
			nodes = append(nodes, node)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// set returns the visible endpoints of a service in order of their nodes.
func (t *table) set(service string) resource.EndpointSet {
	keep := t.keepLost(service)
	out := resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}
	for _, r := range t.services[service] {
		if r.Endpoint.State == resource.StateGone || r.lost() && !keep {
			continue
		}
		e := peerapi.Visible(r.Endpoint)
		e.Stale = r.lost() || t.stale(r)
		out.Endpoints = append(out.Endpoints, e)
	}
	sort.Slice(out.Endpoints, func(i, j int) bool { return out.Endpoints[i].Node < out.Endpoints[j].Node })
	return out
}

// stale reports whether the owner of the record cannot vouch for it now.
func (t *table) stale(r *record) bool {
	if r.Owner == t.self {
		return false
	}
	o := t.owners[r.Owner]
	return o == nil || o.silent || !r.since.IsZero()
}

// urgent reports whether a message carries a change that is passed on at once.
func urgent(m *peerapi.Records) bool {
	for i := range m.Records {
		if s := m.Records[i].Endpoint.State; s == resource.StateDraining || s == resource.StateGone {
			return true
		}
	}
	return false
}
