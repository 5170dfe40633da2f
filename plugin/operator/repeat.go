package operator

import (
	"sync"
	"time"
)

const (
	// repeatInterval is the minimum time between two log lines for one change and one cause. An
	// operator sends an undecided change again several times a second.
	repeatInterval = time.Second
	// maxRepeats bounds the table of repeats. At the bound the table is cleared.
	maxRepeats = 256
)

// repeats bounds the log lines of undecided changes. Its mutex is a leaf lock below all ranks.
type repeats struct {
	mu      sync.Mutex
	entries map[repeatKey]*repeat
}

type repeatKey struct{ change, cause string }

// repeat is the state of one change and one cause.
type repeat struct {
	loggedAt   time.Time
	suppressed int
}

// allow reports whether a line is to be logged now, and how many equal ones were suppressed since the
// last one.
func (r *repeats) allow(change, cause string, now time.Time) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := repeatKey{change, cause}
	e := r.entries[key]
	if e == nil {
		if r.entries == nil || len(r.entries) >= maxRepeats {
			r.entries = map[repeatKey]*repeat{}
		}
		r.entries[key] = &repeat{loggedAt: now}
		return 0, true
	}
	if now.Sub(e.loggedAt) < repeatInterval {
		e.suppressed++
		return 0, false
	}
	suppressed = e.suppressed
	e.loggedAt, e.suppressed = now, 0
	return suppressed, true
}
