package rollouts

import "time"

// Timetable of a roll-out. The evidence is collected for as long as possible, since some faults only show late.
const (
	// The finishing phase begins at least finishShare of the period before the deadline, within the two bounds: requests at
	// old endpoints, most of which last below a second, end in it.
	finishShare          = 0.3
	minFinish, maxFinish = 1200 * time.Millisecond, 4 * time.Second
	// Each of the two ramp phases lasts rampShare of the period, within the two bounds. The judge needs a few reports,
	// which arrive every 250 ms.
	rampShare        = 0.05
	minRamp, maxRamp = 400 * time.Millisecond, 2 * time.Second
	// completeBefore is the time before the deadline at which a good version is completed even if requests are still running
	// at old endpoints or nodes have not confirmed. It covers a proposal that is lost and the operator's next read.
	completeBefore = 900 * time.Millisecond
	// ruleTime is the time in which nodes in contact learn of a rule. Not even a near deadline shortens it.
	ruleTime = 400 * time.Millisecond
	// minFinishing is the least duration of the finishing phase, in which nodes that have just confirmed report what they run.
	minFinishing = 600 * time.Millisecond
	// The first phase lasts until minFirst requests were answered, and at least firstDuration; or for firstPart of the period.
	minFirst      = 15
	firstDuration = time.Second
	firstPart     = 0.15
	// The ramp is delayed while fewer than minEvidence requests were answered, or less than half as many endpoints are ready as
	// there are old ones, as long as lateFinish is left for the finishing phase.
	minEvidence = 60
	lateFinish  = completeBefore + 500*time.Millisecond
)

// Shares of the new version by phase: as a factor of the permitted exposure in the canary phases, where the permits are the actual
// limit, and of all requests afterwards. The second factor is above 1 so that a service with few requests uses its permits.
const (
	firstShare, fullShare  = 1, 1.5
	ramp1Share, ramp2Share = 0.3, 0.6
)

// share returns the share of first attempts for the new version. exposureShare is that of the settings.
func (p Phase) share(exposureShare float64) float64 {
	switch p {
	case PhaseCanary:
		return firstShare * exposureShare
	case PhaseFullCanary:
		return fullShare * exposureShare
	case PhaseRamp1:
		return ramp1Share
	case PhaseRamp2:
		return ramp2Share
	}
	return 1
}

// isLimited reports whether the number of requests to the new version is limited in the phase.
func (p Phase) isLimited() bool { return p == PhaseCanary || p == PhaseFullCanary }

func clampShare(period time.Duration, share float64, low, high time.Duration) time.Duration {
	return min(max(time.Duration(share*float64(period)), low), high)
}

// rampTime returns the duration of each ramp phase.
func rampTime(period time.Duration) time.Duration {
	return clampShare(period, rampShare, minRamp, maxRamp)
}

// noEndpoint is the reason for the end of a roll-out without endpoints to move the traffic to.
const noEndpoint = "no endpoint of the target version is ready"

// observation is what the leader knows when it decides on the next phase.
type observation struct {
	period, remaining, sincePhase time.Duration
	// readyNew is the number of ready endpoints of the target version.
	readyNew int
	// old is the number of endpoints of other versions.
	old int
	// bad is the evidence against the new version; empty if there is none.
	bad string
	// answers is the number of requests that the new version has answered, and requests that of both.
	answers, requests uint64
	// settled is set once all nodes in contact have confirmed the rules of the finishing phase and run nothing at old
	// endpoints.
	settled bool
	// lag is how long a step takes to be in the log. Four steps follow the evidence, and the last one must be there in time.
	lag time.Duration
}

// nextPhase returns the phase that follows now and the reason; it returns the current phase if nothing changes.
func nextPhase(p Phase, o observation) (Phase, string) {
	if p.isFinal() {
		return p, ""
	}
	if o.bad != "" {
		return PhaseRolledBack, o.bad
	}
	ramp := rampTime(o.period)
	switch p {
	case PhaseCanary, PhaseFullCanary:
		latest := lateFinish + 2*ramp + 4*o.lag
		isDue := o.remaining <= clampShare(o.period, finishShare, minFinish, maxFinish)+2*ramp+3*o.lag
		isReady := o.answers >= minEvidence && 2*o.readyNew >= o.old // fewer endpoints might not bear the traffic
		switch {
		case o.readyNew == 0 && o.remaining <= latest:
			return PhaseRolledBack, noEndpoint
		case o.remaining <= 0:
			return PhaseRolledBack, "the deadline passed before the evidence was complete"
		case o.readyNew > 0 && isDue && (isReady || o.remaining <= latest):
			return PhaseRamp1, ""
		case p == PhaseCanary && o.answers >= minFirst && o.sincePhase >= firstDuration,
			p == PhaseCanary && o.answers > 0 && o.sincePhase >= time.Duration(firstPart*float64(o.period)):
			return PhaseFullCanary, ""
		}
	case PhaseRamp1, PhaseRamp2:
		if o.readyNew == 0 && o.sincePhase >= minFinishing {
			return PhaseRolledBack, noEndpoint
		}
		if o.readyNew > 0 && (o.sincePhase >= ramp || o.remaining <= lateFinish+2*o.lag) {
			return p + 1, ""
		}
	case PhaseFinishing:
		if o.readyNew == 0 && o.sincePhase >= minFinishing {
			return PhaseRolledBack, noEndpoint
		}
		if o.remaining <= completeBefore+o.lag && o.sincePhase >= ruleTime {
			return PhaseCompleted, "the deadline is near"
		}
		if o.settled && o.sincePhase >= minFinishing {
			return PhaseCompleted, "all nodes in contact have confirmed"
		}
	}
	return p, ""
}

// canaries returns the number of endpoints of the new version that get requests in the canary phases, so that each of them has
// about the load of an old one: a fault under load shows then. There are at least two, since one alone may be a slow machine.
func canaries(exposureShare float64, oldEndpoints int) int {
	return max(2, int(exposureShare*float64(oldEndpoints)+0.99))
}

// remainingAt returns the time that was left at the moment an entry was applied. The age of the entry by the wall clock counts only
// where it is between 0 and all that was left: beyond, a clock is wrong, or the deadline is missed in any case, and a good
// version must not be given up for that.
func remainingAt(now time.Time, r *Rollout) time.Duration {
	left := time.Duration(r.RemainingMillis) * time.Millisecond
	if age := now.Sub(time.UnixMilli(r.AtMillis)); age > 0 && age < left {
		return left - age
	}
	return left
}
