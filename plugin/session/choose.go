package session

import (
	"math/rand/v2"
	"time"
)

// instance is a control instance of the settings.
type instance struct{ name, address, zone string }

// order returns the control instances in the order in which a node of the zone
// tries them: those of its zone first, each part shuffled so that the nodes
// spread over the instances.
func order(members []instance, zone string, rng *rand.Rand) (list []instance, home int) {
	var others []instance
	for _, m := range members {
		if m.zone == zone {
			list = append(list, m)
		} else {
			others = append(others, m)
		}
	}
	home = len(list)
	rng.Shuffle(home, func(i, j int) { list[i], list[j] = list[j], list[i] })
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(list, others...), home
}

// choose returns the instance for an attempt after a number of failures. The
// instance of the last session comes last in the first round, because it has
// just failed or sent the node away.
func choose(list []instance, attempt int, last string) instance {
	if attempt >= len(list) || last == "" {
		return list[attempt%len(list)]
	}
	n := 0
	for _, m := range list {
		if m.name == last {
			continue
		}
		if n == attempt {
			return m
		}
		n++
	}
	return list[attempt%len(list)]
}

// better returns the instances that suit better than the current one: those of
// the own zone for a node attached elsewhere, all others for one whose instance
// does not reach the quorum. home is the number of the own zone's instances,
// which come first in list.
func better(list []instance, home int, current string, isolated bool) []instance {
	var out []instance
	at := home
	for i, m := range list {
		if m.name == current {
			at = i
		}
	}
	for i, m := range list {
		if i != at && (isolated || i < home && at >= home) {
			out = append(out, m)
		}
	}
	return out
}

// movePause draws the pause before an attempt to move. The spread keeps nodes
// from moving all at once.
func movePause(mean time.Duration, rng *rand.Rand) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

// leavePause is the mean pause before the attempt to leave an instance that has lost
// the quorum. Half an interval spreads the nodes of an instance like their pings do.
func (s *Settings) leavePause() time.Duration { return s.PingInterval.D() / 2 }

// LeaveWithin bounds the time from the moment at which an instance knows that it has
// lost the quorum until its nodes try to leave it: a ping, and the longest pause.
func (s *Settings) LeaveWithin() time.Duration {
	return s.PingInterval.D() + s.leavePause()*3/2
}
