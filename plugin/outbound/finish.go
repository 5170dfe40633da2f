package outbound

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

const (
	// statedTimeConstant is the time constant with which stated values lose their weight: queues and slowdowns change many
	// times a second.
	statedTimeConstant = 100 * time.Millisecond
	// minStatedWeight is the weight below which stated values are ignored.
	minStatedWeight = 0.01
	// comparedCandidates is the number of candidates of which the one with the earliest expected finish is chosen. They
	// are drawn at random by weight, because nodes with equal knowledge would all choose the same endpoint. In the tests
	// of TestChoiceByCost, three candidates caused more rejections at high load, and calls were not served earlier.
	comparedCandidates = 2
	// speedExponent is the exponent of the speed in the comparison. The weights of the draw already contain the speed.
	speedExponent = 0.5
	// nearEqual is the factor of the earliest expected finish within which candidates count as equal. Of those, the one
	// that was drawn first is chosen.
	nearEqual = 1.1
)

// statedWork is what the node beside an endpoint has stated with its last response.
type statedWork struct {
	// wait is the expected time that a call would wait for a slot.
	wait time.Duration
	// slowdown is the duration of work at the moment, relative to the usual one at the endpoint.
	slowdown float64
	at       time.Time
}

// weight returns the weight of the stated values against the learned ones.
func (s *statedWork) weight(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.slowdown <= 0 || age > 10*statedTimeConstant {
		return 0
	}
	return math.Exp(-max(age, 0).Seconds() / statedTimeConstant.Seconds())
}

// observeWork records what the node of an endpoint has stated, and returns the time that the upstream took to run the
// call, relative to the speed of the endpoint; 0 if it did not run.
func (t *table) observeWork(e *endpoint, w httpcall.NodeWork, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.stated = statedWork{wait: w.Wait, slowdown: float64(w.SlowdownPercent) / 100, at: now}
	return time.Duration(float64(w.Run) / (e.slowdown(now) * e.stated.slowdown))
}

// finish returns the expected time until a call that is sent now ends, relative to the mean work of its route. It is
// score with the stated values in place of the learned ones while they are fresh. work is the mean work; 0 if unknown.
func (e *endpoint) finish(now time.Time, slowStart, work time.Duration) float64 {
	load := e.expectedLoad(now)
	queueing := baseLoadCost*load + queueingLoadCost*max(load-queueingLoad, 0)
	slowdown := math.Pow(e.slowdown(now), speedExponent)
	if weight := e.stated.weight(now); weight > minStatedWeight {
		if work > 0 {
			queueing += weight * (baseLoadCost*load + e.stated.wait.Seconds()/work.Seconds() - queueing)
		}
		slowdown *= 1 + weight*(e.stated.slowdown-1)
	}
	v := (1 + queueing) * slowdown
	return v/e.slowStartWeight(now, slowStart)*(1+failurePenalty*e.expectedFailureRate(now)) + float64(e.consecutiveFailures)
}

// estimate returns finish or score, by the options of the call.
func (e *endpoint) estimate(now time.Time, opts *pickOptions) float64 {
	if opts.byCost {
		return e.finish(now, opts.slowStart, opts.work)
	}
	return e.score(now, opts.slowStart)
}

// pickByFinish draws some candidates at random by weight and returns the one with the earliest expected finish. It changes
// the order of the candidates.
func pickByFinish(candidates []*endpoint, now time.Time, opts *pickOptions, intn func(int) int) *endpoint {
	var best *endpoint
	least := 0.0
	for i := range min(comparedCandidates, len(candidates)) {
		e := pickWeighted(candidates[i:], now, opts.slowStart, intn)
		for j := i; j < len(candidates); j++ {
			if candidates[j] == e {
				candidates[i], candidates[j] = candidates[j], candidates[i]
				break
			}
		}
		if v := e.finish(now, opts.slowStart, opts.work); best == nil || v*nearEqual < least {
			best, least = e, v
		}
	}
	return best
}
