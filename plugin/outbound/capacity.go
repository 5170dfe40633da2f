package outbound

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// calledFor is how long a service counts as called after the last call.
	calledFor = 30 * time.Second
	// maxCalled bounds the services whose loads are asked for.
	maxCalled = 16
)

// called names the services whose endpoints' loads this node has a use for, those
// called last first.
func (t *table) called(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.sets {
		if now.Sub(s.called) < calledFor && len(s.list) > 1 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return t.sets[b].called.Compare(t.sets[a].called) })
	return names[:min(len(names), maxCalled)]
}

// learn takes what the fleet reports of endpoints. Entries for another set than the
// one held are ignored; the next report follows the set of that time.
func (t *table) learn(list []peerapi.ServiceLoads, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range list {
		s := t.sets[list[i].Service]
		if s == nil || s.source == nil {
			continue
		}
		if s.digest == 0 {
			s.digest = peerapi.Digest(s.source)
		}
		if s.digest != list[i].Digest {
			continue
		}
		for at, e := range s.list {
			if l, ok := list[i].Entry(at); ok {
				e.learn(l, now)
			}
		}
		s.observe(now)
	}
}

// learn takes the report of the node beside the endpoint.
func (e *endpoint) learn(l peerapi.EndpointLoad, now time.Time) {
	e.slowness, e.reportedLoad, e.reportedFailing, e.reported = l.Slowness, l.Load, l.Failing, now
	if now.Sub(e.loadAt) > loadFresh {
		e.load, e.loadAt = l.Load, now
	}
}
