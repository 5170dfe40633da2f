package announce

import "time"

// probeResult is the outcome of one probe.
type probeResult int

const (
	// probeOK is a response with a status below 400.
	probeOK probeResult = iota
	// probeNegative is any other response.
	probeNegative
	// probeTimedOut means that the connection was accepted but no response arrived in time.
	probeTimedOut
	// probeRefused means that no connection could be made: nothing listens.
	probeRefused
)

// refusedWeight is the number of negative or late responses that count as much as one refused
// connection. A response may be wrong, for example because the health path is outdated; a refused
// connection is unambiguous.
const refusedWeight = 3

// maxPenalty is the maximum of health.penalty; at the bound, a flapping upstream needs this many
// times as many successful probes in a row to become ready as rise demands.
const maxPenalty = 8

// health decides from probe results whether the upstream is ready. It is not safe for concurrent
// use.
type health struct {
	// rise and fall are the settings Rise and Fall.
	rise, fall int
	// maxUnreadyTime is the setting MaxUnready.
	maxUnreadyTime time.Duration
	ready          bool
	// stateSince is when the current state began, or when the penalty was last halved if that is
	// later.
	stateSince time.Time
	// successes counts successful probes in a row. failureWeight is the total weight of the failed
	// probes in a row. A negative or late response has weight 1, and a refused connection has
	// weight refusedWeight.
	successes, failureWeight int
	// reachable reports whether the last probe found a listener.
	reachable bool
	// penalty is the factor by which rise is multiplied; 1 at first. It doubles, up to maxPenalty,
	// when the upstream becomes unready less than maxUnreadyTime after it became ready, and is
	// halved each time the upstream has stayed ready for maxUnreadyTime.
	penalty int
}

func newHealth(rise, fall int, maxUnreadyTime time.Duration, now time.Time) *health {
	return &health{rise: rise, fall: fall, maxUnreadyTime: maxUnreadyTime, stateSince: now, penalty: 1}
}

// addResult records the result of a probe and reports whether the state changed.
func (h *health) addResult(r probeResult, now time.Time) bool {
	h.reachable = r != probeRefused
	switch r {
	case probeOK:
		h.successes, h.failureWeight = h.successes+1, 0
	case probeRefused:
		h.successes, h.failureWeight = 0, h.failureWeight+refusedWeight
	default:
		h.successes, h.failureWeight = 0, h.failureWeight+1
	}
	if h.ready {
		return h.updateReady(now)
	}
	if h.successes >= h.rise*h.penalty || h.reachable && now.Sub(h.stateSince) >= h.maxUnreadyTime {
		h.setReady(true, now)
		return true
	}
	return false
}

// updateReady decides whether a ready upstream becomes unready, and reports whether it does.
func (h *health) updateReady(now time.Time) bool {
	if h.failureWeight < h.fall*refusedWeight {
		if h.penalty > 1 && h.successes > 0 && now.Sub(h.stateSince) >= h.maxUnreadyTime {
			h.penalty, h.stateSince = h.penalty/2, now
		}
		return false
	}
	if now.Sub(h.stateSince) < h.maxUnreadyTime {
		h.penalty = min(h.penalty*2, maxPenalty)
	}
	h.setReady(false, now)
	return true
}

func (h *health) setReady(ready bool, now time.Time) {
	h.ready, h.stateSince, h.successes, h.failureWeight = ready, now, 0, 0
}
