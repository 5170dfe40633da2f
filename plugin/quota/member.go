package quota

import "time"

// member is a control instance in the group of the replicated log.
type member struct {
	incarnation, earlier uint64
	seq                  uint64
	heardAt              time.Duration
	// isKnown is set once the member has stated everything that it holds, in this term.
	isKnown bool
	// isUnrecorded is set if the member has no record of leases on its disk.
	isUnrecorded bool
	hasReported  bool
	// isSeeking is set while the member waits for nodes.
	isSeeking bool
	// quietSince is the time from which on nothing that earlier incarnations of the member gave was valid.
	quietSince time.Duration
	parts      map[string]*part
}

// restart makes what the member held that of an earlier incarnation, whose leases may last.
func (m *member) restart(incarnation uint64) {
	m.earlier, m.incarnation, m.seq = m.incarnation, incarnation, 0
	for _, p := range m.parts {
		p.frozen = share{p.frozen.rate + p.counted.rate, p.frozen.capacity + p.counted.capacity}
		p.counted, p.demand = share{}, 0
	}
}

// isFrozen reports whether something is reserved for leases of earlier incarnations.
func (m *member) isFrozen() bool {
	for _, p := range m.parts {
		if p.frozen != (share{}) {
			return true
		}
	}
	return false
}

// thaw frees what earlier incarnations of the member held.
func (l *Ledger) thaw(m *member, now time.Duration) {
	for name, p := range m.parts {
		if p.frozen == (share{}) {
			continue
		}
		if a := l.accounts[name]; a != nil && !l.isComplete {
			a.refill(now)
			a.free = share{a.free.rate + p.frozen.rate, a.free.capacity + p.frozen.capacity}
		}
		p.frozen = share{}
	}
}
