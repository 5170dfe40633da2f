package quota

import "time"

// target returns the share of a team that a member should have: what the members that report can have, without the pool,
// in proportion to their demand. A member without demand gets none if the parts would be too small to be of use.
func (l *Ledger) target(team string, m *member, now time.Duration) share {
	a := l.accounts[team]
	if a.limit.Rate <= 0 {
		return share{}
	}
	available := l.available(team, a, now)
	for _, withIdle := range []bool{true, false} {
		weight := l.weight(team, m, withIdle, now)
		if s := (share{available.rate * weight, available.capacity * weight}); s.capacity >= minCapacity {
			return s
		}
	}
	return share{} // tokens come from the pool only
}

// available returns what can be divided into shares: the limit without the pool, and without what is held by members that do
// not report.
func (l *Ledger) available(team string, a *account, now time.Duration) share {
	rest := share{a.limit.Rate, a.limit.Capacity()}
	for _, m := range l.members {
		p := m.parts[team]
		if p == nil {
			continue
		}
		rest = share{rest.rate - p.frozen.rate, rest.capacity - p.frozen.capacity}
		if !m.isReporting(p, now) {
			rest = share{rest.rate - p.counted.rate, rest.capacity - p.counted.capacity}
		}
	}
	keptRate, keptCapacity := poolRate, poolCapacity
	if a.limit.Rate < smallRate {
		keptRate, keptCapacity = smallPoolRate, smallPoolCapacity
	}
	return share{max(rest.rate, 0) * (1 - keptRate), max(rest.capacity, 0) * (1 - keptCapacity)}
}

// isReporting reports whether the member is known to the leader and, if it has demand, has been heard of lately. A member
// without demand does not report.
func (m *member) isReporting(p *part, now time.Duration) bool {
	return m.hasReported && (p == nil || p.demand == 0 || now-m.heardAt <= quietAfter)
}

// weight returns the fraction of the shares that a member gets.
func (l *Ledger) weight(team string, m *member, withIdle bool, now time.Duration) float64 {
	demand, reporting, busy := 0.0, 0.0, 0.0
	for _, o := range l.members {
		p := o.parts[team]
		if !o.isReporting(p, now) {
			continue
		}
		reporting++
		if p != nil && p.demand > 0 {
			demand += p.demand
			busy++
		}
	}
	base := min(baseDemand, l.accounts[team].limit.Rate/float64(max(len(l.members), 1))) + baseFraction*demand/max(reporting, 1)
	p := m.parts[team]
	switch {
	case !m.isReporting(p, now):
		return 0
	case withIdle && p == nil:
		return base / (demand + base*reporting)
	case withIdle:
		return (base + p.demand) / (demand + base*reporting)
	case p == nil || p.demand == 0:
		return 0
	}
	return (base + p.demand) / (demand + base*busy)
}
