package session

import (
	"math/rand/v2"
	"slices"
	"time"
)

// instance is a known control instance.
type instance struct{ name, address, zone string }

// orderInstances returns the control instances in the order in which a node of the zone tries
// them: first those of the zone, whose number is homeCount, then those of other zones, and last the
// unreachable ones, such as instances that were replaced. The groups are shuffled, so that the nodes are
// distributed over the instances.
func orderInstances(instances []instance, zone string, unreachable []string, rng *rand.Rand) (ordered []instance, homeCount int) {
	var others, last []instance
	for _, m := range instances {
		switch {
		case slices.Contains(unreachable, m.name):
			last = append(last, m)
		case m.zone == zone:
			ordered = append(ordered, m)
		default:
			others = append(others, m)
		}
	}
	for _, group := range [][]instance{ordered, others, last} {
		rng.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	homeCount = len(ordered)
	return append(append(ordered, others...), last...), homeCount
}

// failureOrder records the order of the last failures of instances: of connection attempts, and of
// connections that ended. It is cleared once an instance answers in a session. The zero value is ready to
// use.
type failureOrder struct {
	count  uint64
	byName map[string]uint64
}

// record records a failure of the named instance.
func (o *failureOrder) record(name string) {
	if o.byName == nil {
		o.byName = map[string]uint64{}
	}
	o.count++
	o.byName[name] = o.count
}

// clear forgets all failures.
func (o *failureOrder) clear() { clear(o.byName) }

// chooseInstance returns the instance for the next connection attempt: the first one without a failure,
// else the one whose last failure is the longest ago. So each instance is tried before one is tried
// again. instances must not be empty.
func chooseInstance(instances []instance, failures *failureOrder) instance {
	best := instances[0]
	for _, m := range instances[1:] {
		if failures.byName[m.name] < failures.byName[best.name] {
			best = m
		}
	}
	return best
}

// betterInstances returns the instances that a node prefers to its current one. If the current
// instance does not reach the quorum, these are all others. If it reaches the quorum but is in a
// different zone than the node, these are the instances of the node's zone: the first homeCount ones.
// In any other case there are none.
func betterInstances(instances []instance, homeCount int, current string, isolated bool) []instance {
	var out []instance
	currentIndex := homeCount
	for i, m := range instances {
		if m.name == current {
			currentIndex = i
		}
	}
	for i, m := range instances {
		if i != currentIndex && (isolated || i < homeCount && currentIndex >= homeCount) {
			out = append(out, m)
		}
	}
	return out
}

// randomMovePause returns a random pause before an attempt to move, from 0.5 to 1.5 times mean. The
// jitter keeps nodes from moving all at once.
func randomMovePause(mean time.Duration, rng *rand.Rand) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

// maxMeanLeavePause bounds the mean pause between attempts to leave an instance that has lost the quorum. A
// longer one would leave too little of the 3 s in which a change is in force everywhere, once another
// instance suits.
const maxMeanLeavePause = 400 * time.Millisecond

// meanLeavePause returns the mean pause before an attempt to leave an instance that has lost the
// quorum, after the given number of failed attempts. With half a ping interval, the first attempts of an
// instance's nodes are as far apart as their pings; each further pause is twice as long, up to
// maxMeanLeavePause.
func (s *Settings) meanLeavePause(failures int) time.Duration {
	mean := s.PingInterval.AsDuration() / 2
	for ; failures > 0 && mean < maxMeanLeavePause; failures-- {
		mean = min(2*mean, maxMeanLeavePause)
	}
	return mean
}

// maxRefusalsPerMove bounds the instances that one attempt to move asks in vain. Nodes that ask all instances
// while all are isolated would flood them with connections.
const maxRefusalsPerMove = 3

// leaveTargets returns the candidates in the order in which an attempt to leave asks them after the given
// number of failed attempts: successive attempts begin with different ones.
func leaveTargets(candidates []instance, failures int) []instance {
	if len(candidates) <= maxRefusalsPerMove {
		return candidates
	}
	first := failures * maxRefusalsPerMove % len(candidates)
	return slices.Concat(candidates[first:], candidates[:first])
}

// MaxTimeToLeave returns the longest time from the moment at which an instance detects that it has
// lost the quorum until all its nodes have tried to leave it: one ping interval and the longest
// pause.
func (s *Settings) MaxTimeToLeave() time.Duration {
	return s.PingInterval.AsDuration() + s.meanLeavePause(0)*3/2
}
