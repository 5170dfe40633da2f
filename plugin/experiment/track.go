package experiment

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/rank"
)

// versionStep records when a process reached a version.
type versionStep struct {
	version resource.Version
	at      time.Time
}

// tracker records when each control instance accepted and each node began to serve each version.
type tracker struct {
	// mu guards the fields below.
	mu *rank.Mutex
	// controls holds the steps of each control instance, in the order in which they were recorded.
	controls [][]versionStep
	// nodes holds the steps of each node, in the order in which they were recorded.
	nodes [][]versionStep
	// versionDecreases counts the changes of a node to a lower version.
	versionDecreases int
}

func newTracker(controls, nodes int) *tracker {
	return &tracker{mu: rank.NewMutex(rank.Load), controls: make([][]versionStep, controls), nodes: make([][]versionStep, nodes)}
}

// recordAccepted records that control instance i has accepted version v.
func (t *tracker) recordAccepted(i int, v resource.Version) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.controls[i] = append(t.controls[i], versionStep{v, now})
}

// recordServed records that node i serves version v.
func (t *tracker) recordServed(i int, v resource.Version) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.nodes[i]
	if len(list) > 0 && list[len(list)-1].version > v {
		t.versionDecreases++
	}
	if len(list) == 0 || list[len(list)-1].version != v {
		t.nodes[i] = append(list, versionStep{v, now})
	}
}

// nodeVersion returns the last version that node i served, or 0 if it has served none.
func (t *tracker) nodeVersion(i int) resource.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.nodes[i]); n > 0 {
		return t.nodes[i][n-1].version
	}
	return 0
}

// acceptedAt returns the time at which the first control instance accepted version v or a later one.
// It returns false if none has done so.
func (t *tracker) acceptedAt(v resource.Version) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, list := range t.controls {
		if at, ok := reachedAt(list, v); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// convergenceTime returns the time from the acceptance of version v until every node had served
// version v or a later one. If a node was stopped in between, the time includes its restart.
// convergenceTime returns false until every node has served such a version.
func (t *tracker) convergenceTime(v resource.Version) (time.Duration, bool) {
	acceptedAt, ok := t.acceptedAt(v)
	if !ok {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest time.Duration
	for _, list := range t.nodes {
		at, ok := reachedAt(list, v)
		if !ok {
			return 0, false
		}
		longest = max(longest, at.Sub(acceptedAt))
	}
	return longest, true
}

// reachedAt returns the time of the first step to version v or a later one. It returns false if the
// list has no such step.
func reachedAt(list []versionStep, v resource.Version) (time.Time, bool) {
	for _, s := range list {
		if s.version >= v {
			return s.at, true
		}
	}
	return time.Time{}, false
}
