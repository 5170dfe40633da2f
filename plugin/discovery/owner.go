package discovery

import (
	"sort"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// delta merges changed records of another instance. It returns false when
// messages are missing, so that the sender must send all its records. Records
// are merged in any case: their order is total, so an early one does no harm.
func (t *table) delta(m *peerapi.Records, now time.Time) (complete bool) {
	o := t.owner(m.Instance)
	if m.Epoch < o.epoch {
		return true // late message of an earlier life of the instance
	}
	for _, r := range m.Records {
		if t.take(m.Instance, r, now) {
			t.vouch(t.records[r.Endpoint.Node])
		}
	}
	o.heard = now
	if m.Epoch != o.epoch || !o.synced || m.Seq > o.seq+1 {
		return false
	}
	o.seq = max(o.seq, m.Seq)
	t.speaks(m.Instance, o)
	return true
}

// sync takes all records of another instance. Records that the instance owned
// and names no more begin to run out: after a restart their nodes attach anew.
func (t *table) sync(m *peerapi.Records, now time.Time) {
	o := t.owner(m.Instance)
	if m.Epoch < o.epoch || m.Epoch == o.epoch && m.Seq < o.seq {
		return // late message
	}
	o.epoch, o.seq, o.heard, o.synced, o.settled = m.Epoch, m.Seq, now, true, m.Settled
	named := map[string]bool{}
	for _, r := range m.Records {
		named[r.Endpoint.Node] = t.take(m.Instance, r, now)
	}
	for _, r := range m.Others {
		t.merge(m.Instance, r, now)
	}
	for node, r := range t.records {
		alive, listed := named[node]
		switch {
		case r.Owner != m.Instance:
		case alive:
			t.vouch(r)
		case !listed:
			t.forgotten(r, now)
		}
	}
	t.speaks(m.Instance, o)
}

// forgotten handles a record that its owner does not know any more. Others may
// lack it too, so it is passed on.
func (t *table) forgotten(r *record, now time.Time) {
	t.changed[r.Endpoint.Node] = true
	if r.alive() && r.since.IsZero() {
		r.since = now
		t.dirty[r.Endpoint.Service] = true
	}
}

// take merges a record of another instance's message. It reports whether the
// sender owns the record that holds now and names it as alive.
func (t *table) take(sender string, r peerapi.Record, now time.Time) bool {
	t.merge(sender, r, now)
	return t.records[r.Endpoint.Node].Record == r && r.Owner == sender && !r.Lost && r.Endpoint.State != resource.StateGone
}

func (t *table) owner(name string) *owner {
	o := t.owners[name]
	if o == nil {
		o = &owner{silent: true}
		t.owners[name] = o
	}
	return o
}

// speaks ends the silence of an owner.
func (t *table) speaks(name string, o *owner) {
	if o.silent {
		o.silent = false
		t.touch(name)
	}
}

// silence marks the records of owners not heard from since the timeout as
// stale. It returns the names of the newly silent owners.
func (t *table) silence(now time.Time, timeout time.Duration) []string {
	var names []string
	for name, o := range t.owners {
		if !o.silent && now.Sub(o.heard) >= timeout {
			o.silent = true
			t.touch(name)
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// touch marks every service with records of an owner as changed.
func (t *table) touch(name string) {
	for _, r := range t.records {
		if r.Owner == name {
			t.dirty[r.Endpoint.Service] = true
		}
	}
}

// settled reports whether the records of all other instances have arrived and
// one of them had a complete table. When all instances restart together none
// has, and the nodes need time to announce themselves again.
func (t *table) settled() bool {
	complete := false
	for _, o := range t.owners {
		if !o.synced {
			return false
		}
		complete = complete || o.settled
	}
	return complete
}

// full returns the records that a sync to another instance carries: the own
// ones, tombstones included, and those that their owner does not send itself.
func (t *table) full(receiver string) (own, others []peerapi.Record) {
	for _, node := range sortedNodes(t.records) {
		r := t.records[node]
		switch {
		case r.Owner == t.self:
			own = append(own, r.Record)
		case r.Owner == receiver || t.stale(r) || !r.alive():
			others = append(others, r.Record)
		}
	}
	return own, others
}

// of returns the current records of nodes.
func (t *table) of(nodes map[string]bool) []peerapi.Record {
	var list []peerapi.Record
	for _, node := range sortedNodes(nodes) {
		if r := t.records[node]; r != nil {
			list = append(list, r.Record)
		}
	}
	return list
}

func sortedNodes[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for n := range m {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}
