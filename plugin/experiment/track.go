package experiment

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// step is the moment from which a process is at a version.
type step struct {
	version resource.Version
	at      time.Time
}

// tracker records when control instances accepted and nodes served each version.
type tracker struct {
	// mu guards the table of steps.
	mu       *rank.Mutex
	controls [][]step
	nodes    [][]step
	// backwards counts steps of a node to a lower version than before.
	backwards int
}

func newTracker(controls, nodes int) *tracker {
	return &tracker{mu: rank.New(rank.Load), controls: make([][]step, controls), nodes: make([][]step, nodes)}
}

func (t *tracker) accepted(i int, v resource.Version) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.controls[i] = append(t.controls[i], step{v, now})
}

func (t *tracker) served(i int, v resource.Version) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.nodes[i]
	if len(list) > 0 && list[len(list)-1].version > v {
		t.backwards++
	}
	if len(list) == 0 || list[len(list)-1].version != v {
		t.nodes[i] = append(list, step{v, now})
	}
}

// at returns the last version of a node.
func (t *tracker) at(i int) resource.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.nodes[i]); n > 0 {
		return t.nodes[i][n-1].version
	}
	return 0
}

// acceptedAt returns when the first control instance had applied version v.
func (t *tracker) acceptedAt(v resource.Version) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, list := range t.controls {
		if at, ok := reached(list, v); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// convergence returns the time from the acceptance of v until the last node
// served it. Only steps at or after the acceptance count, so that a node that
// was restarted counts with its return.
func (t *tracker) convergence(v resource.Version) (time.Duration, bool) {
	accepted, ok := t.acceptedAt(v)
	if !ok {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest time.Duration
	for _, list := range t.nodes {
		at, ok := reached(list, v)
		if !ok {
			return 0, false
		}
		longest = max(longest, at.Sub(accepted))
	}
	return longest, true
}

// reached returns the first step to at least version v.
func reached(list []step, v resource.Version) (time.Time, bool) {
	for _, s := range list {
		if s.version >= v {
			return s.at, true
		}
	}
	return time.Time{}, false
}
