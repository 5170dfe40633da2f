package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// maxNamed bounds the starts of nodes in one report or reply: about 10 kB. maxStarts bounds those that are remembered.
const maxNamed, maxStarts = 256, 4096

// nodeStart is the newest start of a node that has been heard of. startedBy is a time by which it had begun, so that the
// process of an earlier start had ended.
type nodeStart struct {
	incarnation uint64
	startedBy   time.Duration
	// heardAt is the last time at which it was heard of.
	heardAt time.Duration
}

// nodeStarts holds the newest starts of nodes, by name.
type nodeStarts map[string]nodeStart

// observe takes note of a start of a node that has run for age at now.
func (s nodeStarts) observe(key nodeKey, age, now time.Duration) {
	old, ok := s[key.name]
	switch {
	case ok && old.incarnation == key.incarnation:
		old.heardAt = now
		s[key.name] = old
	case ok && old.incarnation > key.incarnation, !ok && len(s) >= maxStarts:
		// One that is not remembered is waited for until its leases have ended.
	default:
		s[key.name] = nodeStart{key.incarnation, now - age, now}
	}
}

// message returns the start of a node for a message at now.
func (s nodeStart) message(name string, now time.Duration) peerapi.NodeStart {
	return peerapi.NodeStart{Name: name, Incarnation: s.incarnation, AgeMillis: int(max(now-s.startedBy, 0).Milliseconds())}
}

// age returns how long the start of a node in a message has run.
func age(n *peerapi.NodeStart) time.Duration {
	return time.Duration(max(n.AgeMillis, 0)) * time.Millisecond
}

// firstStarts returns the first maxNamed starts of a list, by name.
func firstStarts(list []peerapi.NodeStart) []peerapi.NodeStart {
	slices.SortFunc(list, func(a, b peerapi.NodeStart) int { return strings.Compare(a.Name, b.Name) })
	return list[:min(len(list), maxNamed)]
}

// observeNode takes note of the node of a request.
func (r *reporter) observeNode(a *admission, now time.Duration) {
	if s := r.starts[a.key.name]; s.incarnation == a.key.incarnation {
		r.leases.observeStart(a.key, s.startedBy)
	}
	if r.nodes[a.key] != nil {
		r.leases.observe(a.key, now)
	}
}

// recordTime is how long after it was heard of last a node stays in the record. It is longer than a lease, because a node
// that returns gets nothing in advance until its name is written again.
const recordTime = 30 * time.Second

// mustRecord reports whether a start of a node is to stay in the record: it may hold something of this instance, or of an
// earlier incarnation of it, or has done so lately.
func (r *reporter) mustRecord(key nodeKey, now time.Duration) bool {
	_, isWaited := r.leases.waiting[key.name]
	s, isHeard := r.starts[key.name]
	return isWaited && r.leases.isWaiting(now) || r.nodes[key] != nil || isHeard && now-s.heardAt < recordTime
}

// settle takes note that the leader has known of all leases of earlier incarnations, and reports whether that is new.
func (r *reporter) settle() bool {
	if !r.isComplete || r.leases.isSettled {
		return false
	}
	r.leases.isSettled = true
	return true
}

// untold returns the starts of which the leader has not been told.
func (r *reporter) untold(now time.Duration) []peerapi.NodeStart {
	var list []peerapi.NodeStart
	for name, s := range r.starts {
		if r.told[name] < s.incarnation {
			list = append(list, s.message(name, now))
		}
	}
	return firstStarts(list)
}

// seek adds to a report what concerns the search for nodes.
func (r *reporter) seek(m *peerapi.QuotaReportRequest, now time.Duration) {
	if m.Full {
		clear(r.told) // the leader may be a new one
	}
	if m.Leases == peerapi.LeasesMayLast {
		m.Waits = r.leases.waits()
	}
	if r.isSought {
		m.Heard = r.untold(now)
		for _, n := range m.Heard {
			r.told[n.Name] = n.Incarnation
		}
	}
	if !r.hasUsed {
		m.QuietMillis = int(r.leases.quiet(now).Milliseconds())
	}
}

// found applies what a reply states about nodes.
func (r *reporter) found(reply *peerapi.QuotaReportReply, now time.Duration) {
	r.isSought = reply.Sought
	for i := range reply.Replaced {
		n := &reply.Replaced[i]
		r.leases.observeStart(nodeKey{n.Name, n.Incarnation}, now-age(n))
	}
}

// isUrgent reports whether reports are to follow each other closely, because this instance or another one waits for nodes
// to be heard of, or for the shares of the group to be known. After the start this ends with the leases of earlier starts.
func (r *reporter) isUrgent(now time.Duration) bool {
	return !r.leases.isSettled && now <= r.leases.lease+leaseMargin || r.isSought && len(r.untold(now)) > 0
}

// find takes note of the nodes in a report, and adds to the reply which of those that the member waits for have been replaced.
func (l *Ledger) find(m *member, r *peerapi.QuotaReportRequest, reply *peerapi.QuotaReportReply, now time.Duration) {
	for i := range r.Heard {
		n := &r.Heard[i]
		l.starts.observe(nodeKey{n.Name, n.Incarnation}, age(n), now)
	}
	for i := range r.Waits {
		w := &r.Waits[i]
		if s := l.starts[w.Name]; s.incarnation > w.Incarnation {
			reply.Replaced = append(reply.Replaced, s.message(w.Name, now))
		}
	}
	m.isSeeking = len(r.Waits) > 0
	for _, o := range l.members {
		reply.Sought = reply.Sought || o != m && o.isSeeking && now-o.heardAt <= quietAfter
	}
}
