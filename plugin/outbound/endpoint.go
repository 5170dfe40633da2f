package outbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Outcome is what an attempt tells of its endpoint.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswer is any answer, whatever its status.
	OutcomeAnswer Outcome = iota
	// OutcomeFailure is a cut connection or a timeout.
	OutcomeFailure
	// OutcomeRefused is a refused connection; it counts at once.
	OutcomeRefused
	// OutcomeBusy is a rejection by a full queue; it is no failure.
	OutcomeBusy
	// OutcomeLeaving is a rejection by an endpoint that is leaving.
	OutcomeLeaving
	// OutcomeShed is a proof of the upstream itself that it did not run the call.
	OutcomeShed
	// OutcomeNeutral tells nothing: the caller gave up.
	OutcomeNeutral
)

// endpoint is the own knowledge of one endpoint.
type endpoint struct {
	resource.Endpoint
	inflight int
	load     float64
	loadAt   time.Time
	seen     time.Time
	// slow is the smoothed duration of its calls relative to that of their class.
	slow float64
	// slowness is the same as the node beside it reports it, without the time in
	// queues and on the way, as of reported.
	slowness float64
	// reportedLoad is the mean load of the last second.
	reportedLoad float64
	// reportedFailing is the share of the calls of all nodes that fail, beyond the usual.
	reportedFailing float64
	reported        time.Time
	// failing is the smoothed share of calls that failed.
	failing  float64
	failures int
	// share is scratch space of drawn.
	share     float64
	ejections int
	ejected   time.Time // until when
	leaving   time.Time // until when
	// full tells for each organisation, whose queues are apart, until when calls of a
	// priority, and less urgent ones, would be rejected for lack of room.
	full map[string]*[priorities]time.Time
}

// priorities is the number of priorities that are told apart.
const priorities = 4

// isFull reports whether a call of the priority would find no room.
func (e *endpoint) isFull(organisation string, priority int, now time.Time) bool {
	full := e.full[organisation]
	if full == nil {
		return false
	}
	for p := 0; p <= min(priority, priorities-1); p++ {
		if now.Before(full[p]) {
			return true
		}
	}
	return false
}

// rejected notes that a call found no room. An endpoint of the own zone is asked
// again soon, since asking costs little there.
func (e *endpoint) rejected(organisation string, priority int, zone string, now time.Time) {
	pause := fullRemote
	if e.AvailabilityZone == zone {
		pause = fullLocal
	}
	full := e.full[organisation]
	if full == nil {
		if len(e.full) >= maxOrganisations || e.full == nil {
			e.full = map[string]*[priorities]time.Time{}
		}
		full = &[priorities]time.Time{}
		e.full[organisation] = full
	}
	full[min(max(priority, 0), priorities-1)] = now.Add(pause)
}

// maxOrganisations bounds the table of rejections; it is cleared above that.
const maxOrganisations = 64

// weight is the share of an endpoint during its slow start, up to 1. The time
// since this node first saw it ready bounds the effect of skewed clocks.
func (e *endpoint) weight(now time.Time, slow time.Duration) float64 {
	if slow <= 0 {
		return 1
	}
	age := max(now.Sub(time.UnixMilli(e.ReadySince)), now.Sub(e.seen))
	return min(1, max(leastWeight, float64(age)/float64(slow)))
}

// busy is the load of the endpoint with one more call; 1 means that all slots are
// in use. The load that it last reported includes calls of other nodes; own calls
// since then are only in the own count.
func (e *endpoint) busy(now time.Time) float64 {
	slots := float64(max(e.Slots, 1))
	v := float64(e.inflight+1) / slots
	if now.Sub(e.loadAt) < loadTrust {
		v = max(v, e.load+1/slots)
	}
	return v
}

// score is the expected duration of one more call, relative to that at an idle
// endpoint of the usual speed. Up to busyFrom only the speed counts for much, so
// that fast endpoints are used first; above it calls begin to wait.
func (e *endpoint) score(now time.Time, slow time.Duration) float64 {
	busy := e.busy(now)
	v := 1 + busyIdle*busy + busyWait*max(busy-busyFrom, 0)
	v *= e.slowFactor(now)
	return v/e.weight(now, slow)*(1+failureWeight*e.failingShare(now)) + float64(e.failures)
}

// slowFactor is the expected duration of a call relative to that at other endpoints.
// What the node beside the endpoint reports covers the calls of all nodes; the own
// calls only count besides when they are much slower, as with a fault that only some
// callers see.
func (e *endpoint) slowFactor(now time.Time) float64 {
	own := e.slow
	if own <= 0 {
		own = 1
	}
	if now.Sub(e.reported) < reportTrust && own < ownSlow*e.slowness {
		own = e.slowness
	}
	return min(max(own, slowLeast), slowMost)
}

// failingShare is the share of calls that are expected to fail.
func (e *endpoint) failingShare(now time.Time) float64 {
	if now.Sub(e.reported) < reportTrust {
		return max(e.failing, e.reportedFailing)
	}
	return e.failing
}

// avoided reports whether the endpoint is ejected or said that it leaves.
func (e *endpoint) avoided(now time.Time) bool {
	return now.Before(e.ejected) || now.Before(e.leaving)
}

// took notes the duration of an answered call relative to that of its class.
func (e *endpoint) took(relative float64) {
	e.slow += observeWeight * (min(relative, slowMost) - e.slow)
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
