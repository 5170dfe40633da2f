package session

import (
	"math/rand/v2"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
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

// homePause draws the pause before an attempt to return to the own zone. The
// spread keeps nodes from returning all at once.
func homePause(mean time.Duration, rng *rand.Rand) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)+1))
}

// translate turns a message into an update of the snapshot: changes of
// endpoint sets become whole sets. held is nil before the first snapshot.
func translate(held *resource.Snapshot, m *peerapi.Update) (resource.Update, error) {
	u := resource.Update{Delta: m.Delta, Sets: m.Sets, Drop: m.Drop}
	for i := range m.Changes {
		var base *resource.EndpointSet
		if held != nil {
			base = held.Sets[m.Changes[i].Service]
		}
		set, err := m.Changes[i].Apply(base)
		if err != nil {
			return u, err
		}
		u.Sets = append(u.Sets, set)
	}
	return u, nil
}

// hello describes the state that the node holds.
func hello(held *resource.Snapshot) (resource.Version, map[string]uint64) {
	if held == nil {
		return 0, nil
	}
	digests := make(map[string]uint64, len(held.Sets))
	for service, set := range held.Sets {
		digests[service] = peerapi.Digest(set)
	}
	return held.Version, digests
}
