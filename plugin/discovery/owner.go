package discovery

import (
	"sort"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// applyDelta merges changed records of another instance. It returns false when messages are
// missing, in which case the sender must send all its records. The records are merged in any
// case: they are totally ordered, so a record that arrives early does no harm.
func (t *table) applyDelta(m *peerapi.Records, now time.Time) (complete bool) {
	o := t.ensureOwner(m.Instance)
	if m.Epoch < o.epoch {
		return true // late message from before a restart of the instance
	}
	for _, r := range m.Records {
		if t.mergeAndCheckAlive(m.Instance, r, now) {
			t.confirmAlive(t.records[r.Endpoint.Node])
		}
	}
	o.lastReceivedAt = now
	if m.Epoch != o.epoch || !o.synced || m.Seq > o.seq+1 {
		return false
	}
	o.seq = max(o.seq, m.Seq)
	t.clearSilent(m.Instance, o)
	return true
}

// applySync merges the full set of records of another instance. Records that the instance owned but
// no longer lists start to expire: if the instance lost them in a restart, their nodes attach again
// and announce them.
func (t *table) applySync(m *peerapi.Records, now time.Time) {
	o := t.ensureOwner(m.Instance)
	if m.Epoch < o.epoch || m.Epoch == o.epoch && m.Seq < o.seq {
		return // late message
	}
	o.epoch, o.seq, o.lastReceivedAt, o.synced, o.settled = m.Epoch, m.Seq, now, true, m.TableComplete
	aliveByNode := map[string]bool{}
	for _, r := range m.Records {
		aliveByNode[r.Endpoint.Node] = t.mergeAndCheckAlive(m.Instance, r, now)
	}
	for _, r := range m.Others {
		t.merge(m.Instance, r, now)
	}
	for node, r := range t.records {
		alive, listed := aliveByNode[node]
		switch {
		case r.Owner != m.Instance:
		case alive:
			t.confirmAlive(r)
		case !listed:
			t.handleUnlisted(r, now)
		}
	}
	t.clearSilent(m.Instance, o)
}

// handleUnlisted starts the expiry of a record that its owner no longer lists. The record is passed
// on, because other instances may lack it too.
func (t *table) handleUnlisted(r *record, now time.Time) {
	t.changedNodes[r.Endpoint.Node] = true
	if r.isAlive() && r.expiringSince.IsZero() {
		r.expiringSince = now
		t.dirtyServices[r.Endpoint.Service] = true
	}
}

// mergeAndCheckAlive merges a record from another instance's message. It reports whether the
// record is now the current one, the sender owns it, and it is alive.
func (t *table) mergeAndCheckAlive(sender string, r peerapi.Record, now time.Time) bool {
	t.merge(sender, r, now)
	current := t.records[r.Endpoint.Node]
	isCurrent := current.Endpoint == r.Endpoint && current.Owner == r.Owner && current.Lost == r.Lost
	return isCurrent && r.Owner == sender && !r.Lost && current.State() != resource.StateGone
}

// newerEpoch returns the epoch that is known of a control instance if it is above the given one, else 0.
func (t *table) newerEpoch(name string, epoch uint64) uint64 {
	if o := t.owners[name]; o != nil && o.epoch > epoch {
		return o.epoch
	}
	return 0
}

// ensureOwner returns the state of a control instance. For an instance without one, it creates the
// state of a silent instance.
func (t *table) ensureOwner(name string) *owner {
	o := t.owners[name]
	if o == nil {
		o = &owner{silent: true}
		t.owners[name] = o
	}
	return o
}

// clearSilent marks an owner that has sent a message as not silent, so that its records are no
// longer stale.
func (t *table) clearSilent(name string, o *owner) {
	if o.silent {
		o.silent = false
		t.markOwnerDirty(name)
	}
}

// markSilent marks owners that have sent nothing for the timeout as silent, which makes their
// records stale. It returns the names of the newly silent owners.
func (t *table) markSilent(now time.Time, timeout time.Duration) []string {
	var names []string
	for name, o := range t.owners {
		if !o.silent && now.Sub(o.lastReceivedAt) >= timeout {
			o.silent = true
			t.markOwnerDirty(name)
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// markOwnerDirty marks every service that has records of an owner as dirty.
func (t *table) markOwnerDirty(name string) {
	for _, r := range t.records {
		if r.Owner == name {
			t.dirtyServices[r.Endpoint.Service] = true
		}
	}
}

// isSettled reports whether the records of all other instances have arrived and at least one of
// those instances had a complete table. When all instances restart together, none has one, and
// the nodes need time to announce themselves again.
func (t *table) isSettled() bool {
	complete := false
	for _, o := range t.owners {
		if !o.synced {
			return false
		}
		complete = complete || o.settled
	}
	return complete
}

// syncRecords returns the records of a sync message to another instance: the ones that this
// instance owns, including tombstones, and those that their owner cannot send itself.
func (t *table) syncRecords(receiver string) (own, others []peerapi.Record) {
	for _, node := range sortedKeys(t.records) {
		r := t.records[node]
		switch {
		case r.Owner == t.self:
			own = append(own, r.Record)
		case r.Owner == receiver || t.isStale(r) || !r.isAlive():
			others = append(others, r.Record)
		}
	}
	return own, others
}

// recordsOf returns the current records of the given nodes.
func (t *table) recordsOf(nodes map[string]bool) []peerapi.Record {
	var list []peerapi.Record
	for _, node := range sortedKeys(nodes) {
		if r := t.records[node]; r != nil {
			list = append(list, r.Record)
		}
	}
	return list
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
