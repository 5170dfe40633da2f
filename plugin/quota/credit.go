package quota

import "time"

// creditQuiet fills the pools with the tokens of the time in which certainly nothing was spent, once all members are known.
// After a restart of all processes that is the time since the last one started. It adds nothing to the bound: between the
// end of what the earlier processes could spend and the end of any window, no more than rate × time is given.
func (l *Ledger) creditQuiet(now time.Duration) {
	since := time.Duration(0)
	isFirst := true
	for _, m := range l.members {
		if isFirst || m.quietSince > since {
			since, isFirst = m.quietSince, false
		}
		if !m.hasReported {
			return
		}
	}
	for name, a := range l.accounts {
		from, used := since, a.given
		if a.floor() != (share{}) {
			from = max(from, l.startedAt) // an earlier leader may have given from the floor
		}
		holdsRate := false
		for _, m := range l.members {
			if p := m.parts[name]; p != nil {
				used += p.counted.capacity
				holdsRate = holdsRate || p.counted.rate > 0 || p.frozen != (share{})
			}
		}
		l.count(name, a, now)
		if credit := a.limit.Rate*(now-from).Seconds() - used; !holdsRate && credit > a.level {
			a.level = credit
			a.refill(now)
		}
	}
}
