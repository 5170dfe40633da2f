package announce

import "time"

// result is the outcome of one probe.
type result int

const (
	// probeOK is an answer with a status below 400.
	probeOK result = iota
	// probeNegative is any other answer.
	probeNegative
	// probeLate is no answer in time on a connection that was accepted.
	probeLate
	// probeRefused is a connection that could not be made: nothing listens.
	probeRefused
)

// weakFactor is how many negative or late answers weigh as much as one refused
// connection. Health paths lag behind and mislead; a refused connection does not.
const weakFactor = 3

// maxPenalty bounds the rise of the number of successes that a flapping
// upstream must show.
const maxPenalty = 8

// health decides from probes whether the upstream is ready. Callers serialise
// its methods.
type health struct {
	rise, fall int
	maxUnready time.Duration
	ready      bool
	// since is when the present state began.
	since time.Time
	// good counts successes in a row, bad failures in a row in units of one
	// negative answer.
	good, bad int
	// reachable tells that the last probe found a listener.
	reachable bool
	// penalty multiplies rise; it doubles when an upstream fails soon after it
	// became ready and shrinks while it stays ready.
	penalty int
}

func newHealth(rise, fall int, maxUnready time.Duration, now time.Time) *health {
	return &health{rise: rise, fall: fall, maxUnready: maxUnready, since: now, penalty: 1}
}

// probe takes one result and reports whether the state changed.
func (h *health) probe(r result, now time.Time) bool {
	h.reachable = r != probeRefused
	switch r {
	case probeOK:
		h.good, h.bad = h.good+1, 0
	case probeRefused:
		h.good, h.bad = 0, h.bad+weakFactor
	default:
		h.good, h.bad = 0, h.bad+1
	}
	if h.ready {
		return h.whileReady(now)
	}
	if h.good >= h.rise*h.penalty || h.reachable && now.Sub(h.since) >= h.maxUnready {
		h.turn(true, now)
		return true
	}
	return false
}

func (h *health) whileReady(now time.Time) bool {
	if h.bad < h.fall*weakFactor {
		if h.penalty > 1 && h.good > 0 && now.Sub(h.since) >= h.maxUnready {
			h.penalty, h.since = h.penalty/2, now
		}
		return false
	}
	if now.Sub(h.since) < h.maxUnready {
		h.penalty = min(h.penalty*2, maxPenalty)
	}
	h.turn(false, now)
	return true
}

func (h *health) turn(ready bool, now time.Time) {
	h.ready, h.since, h.good, h.bad = ready, now, 0, 0
}
