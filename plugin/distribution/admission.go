package distribution

import "github.com/celeryyard/celeryyard/core/resource"

// admission decides when nodes without state get their first snapshot, so that
// no node is given a version below one that it may have served before.
// Callers serialise its methods.
type admission struct {
	// bound is the zone's lower bound: the highest version reported since the
	// start by nodes of the zone or by other instances.
	bound resource.Version
	// durable tells that the instance's own released version survived its start;
	// confirmed that a linearizable read has succeeded since. Without either the
	// instance cannot know what it released before.
	durable, confirmed bool
	// waiting came before the read that is running, next after it began.
	waiting, next []uint64
	running       bool
}

// report raises the lower bound by a version that another process holds.
func (a *admission) report(v resource.Version) { a.bound = max(a.bound, v) }

// wait adds a session without state and reports whether the caller starts a read.
func (a *admission) wait(id uint64) (start bool) {
	if a.running {
		a.next = append(a.next, id)
		return false
	}
	a.waiting = append(a.waiting, id)
	return a.begin()
}

// begin starts a read for all sessions that wait; it reports false when there
// are none or a read is running.
func (a *admission) begin() bool {
	if a.running {
		return false
	}
	a.waiting, a.next = append(a.waiting, a.next...), nil
	a.running = len(a.waiting) > 0
	return a.running
}

// verdict is the outcome of a linearizable read.
type verdict struct {
	// admitted sessions may be sent versions from min on.
	admitted []uint64
	min      resource.Version
	// reason tells why sessions still wait; empty when they were admitted.
	reason string
}

// read takes the outcome of the running read. version is the one that the
// instance held when the read ended, released its own synced version.
func (a *admission) read(ok bool, version, released resource.Version) verdict {
	a.running = false
	if ok {
		a.confirmed = true
		v := verdict{admitted: a.waiting, min: version}
		a.waiting = nil
		return v
	}
	low := max(a.bound, released)
	switch {
	case version == 0:
		return verdict{reason: "instance holds no configuration and does not reach the quorum"}
	case !a.durable && !a.confirmed:
		return verdict{reason: "instance restarted without its released version and does not reach the quorum"}
	case version < low:
		return verdict{reason: "instance is behind the zone's lower bound and does not reach the quorum"}
	}
	v := verdict{admitted: a.waiting, min: low}
	a.waiting = nil
	return v
}

// forget removes a closed session.
func (a *admission) forget(id uint64) {
	a.waiting = without(a.waiting, id)
	a.next = without(a.next, id)
}

func without(list []uint64, id uint64) []uint64 {
	out := list[:0]
	for _, x := range list {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}
