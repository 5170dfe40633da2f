package session

import (
	"math/rand/v2"
	"time"
)

// instance is a known control instance.
type instance struct{ name, address, zone string }

// orderInstances returns the control instances in the order in which a node of the zone tries
// them, and the number of instances in that zone, which come first. The instances of the zone
// and the others are each shuffled, so that the nodes are distributed over the instances.
func orderInstances(instances []instance, zone string, rng *rand.Rand) (ordered []instance, homeCount int) {
	var others []instance
	for _, m := range instances {
		if m.zone == zone {
			ordered = append(ordered, m)
		} else {
			others = append(others, m)
		}
	}
	homeCount = len(ordered)
	rng.Shuffle(homeCount, func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(ordered, others...), homeCount
}

// chooseInstance returns the instance for a connection attempt; attempt counts the failures so far.
// In the first round, the instance of the last session comes last, because it has just failed or
// refused the session.
func chooseInstance(instances []instance, attempt int, lastName string) instance {
	if attempt >= len(instances) || lastName == "" {
		return instances[attempt%len(instances)]
	}
	n := 0
	for _, m := range instances {
		if m.name == lastName {
			continue
		}
		if n == attempt {
			return m
		}
		n++
	}
	return instances[attempt%len(instances)]
}

// betterInstances returns the instances that are preferred to the current one. For a node attached
// in another zone, these are the instances of its own zone; for a node whose instance does not
// reach the quorum, these are all others. The first homeCount instances are those of the node's
// zone.
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

// randomMovePause returns a random pause before an attempt to move, between half and one and a
// half of mean. The jitter keeps nodes from moving all at once.
func randomMovePause(mean time.Duration, rng *rand.Rand) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

// meanLeavePause returns the mean pause before an attempt to leave an instance that has lost the
// quorum. With half a ping interval, the attempts of an instance's nodes are as far apart as their
// pings.
func (s *Settings) meanLeavePause() time.Duration { return s.PingInterval.AsDuration() / 2 }

// MaxTimeToLeave returns the longest time between the detection by an instance that it has lost the
// quorum and the attempt of its nodes to leave it: one ping interval and the longest pause.
func (s *Settings) MaxTimeToLeave() time.Duration {
	return s.PingInterval.AsDuration() + s.meanLeavePause()*3/2
}
