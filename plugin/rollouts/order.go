package rollouts

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/verdict"
)

// Order is an operator's order to move the traffic of a service to a version within a period.
type Order struct {
	Service, Target string
	Period          time.Duration
}

// Errors of orders.
var (
	// ErrInvalid means that no such order can be carried out.
	ErrInvalid = errors.New("order is invalid")
	// ErrUnknownService means that the configuration in force has no such service.
	ErrUnknownService = errors.New("service is not in the configuration")
)

// minPeriod is the shortest period in which the stages and the end of running requests have a place.
const minPeriod = time.Second

// confirmPoll and confirmRounds bound the wait for the confirmation of the attached nodes before an order is acknowledged: until
// a node has confirmed, it does not distinguish versions.
const (
	confirmPoll   = 30 * time.Millisecond
	confirmRounds = 20
)

func (o *Order) check() error {
	switch {
	case o.Service == "" || len(o.Service) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "service has %d bytes, want 1 to %d", len(o.Service), maxNameBytes)
	case o.Target == "" || len(o.Target) > maxNameBytes:
		return errors.Wrapf(ErrInvalid, "target version has %d bytes, want 1 to %d", len(o.Target), maxNameBytes)
	case o.Period < minPeriod || o.Period > maxPeriodMillis*time.Millisecond:
		return errors.Wrapf(ErrInvalid, "period %v is outside %v..%v", o.Period, minPeriod, maxPeriodMillis*time.Millisecond)
	}
	return nil
}

// StartRollout starts a roll-out. done is called once: with nil once the order is in the replicated log and the attached nodes know it;
// with ErrInvalid, ErrUnknownService or ErrInProgress; or with another error if the outcome is not known within timeout. An order
// that equals one of the last seconds, or the one in progress, is the same order and has no further effect.
func (r *Rollouts) StartRollout(o Order, timeout time.Duration, done func(err error)) {
	finish := func(err error) {
		if err != nil {
			r.c.Log.Log(evRefused).Str("service", o.Service).Str("version", o.Target).Err(err).Send()
		}
		done(err)
	}
	if err := o.check(); err != nil {
		finish(verdict.Wrap(verdict.NotRun, err))
		return
	}
	r.log.Barrier(timeout/2, func(err error) {
		if err == nil && !r.isKnownService(o.Service) {
			err = ErrUnknownService
		}
		if err != nil {
			finish(verdict.Wrap(verdict.NotRun, err))
			return
		}
		data, err := json.Marshal(r.newOrderEntry(o))
		if err != nil {
			finish(verdict.Wrap(verdict.NotRun, err))
			return
		}
		r.propose(data, timeout/2, func(result any, err error) {
			if refusal, ok := result.(error); ok && err == nil {
				err = refusal
			}
			if err != nil {
				finish(err)
				return
			}
			r.awaitConfirmation(confirmRounds, func() { finish(nil) })
		})
	})
}

func (r *Rollouts) newOrderEntry(o Order) *entry {
	e := &entry{
		Kind: kindOrder, Service: o.Service, Target: o.Target, PeriodMillis: o.Period.Milliseconds(), RemainingMillis: o.Period.Milliseconds(),
		AtMillis: r.c.Clock.Now().UnixMilli(),
	}
	if r.discovery != nil {
		set := r.discovery.VersionedSet(o.Service)
		counts := countEndpoints(&set, o.Target)
		e.Versions, e.InForce, e.Canaries = counts.versions, counts.isInForce && r.discovery.IsSettled(), canaries(r.s.ExposureShare, counts.old)
	}
	return e
}

// isKnownService reports whether the configuration has a cluster for the service.
func (r *Rollouts) isKnownService(service string) bool {
	d := r.catalog.Delta(0, map[string]bool{service: true})
	for i := range d.Upserts {
		if c := d.Upserts[i].Cluster; c != nil && c.Service == service {
			return true
		}
	}
	return false
}

// awaitConfirmation calls done once all attached nodes have confirmed the newest rules, after the given number of rounds at the
// latest.
func (r *Rollouts) awaitConfirmation(rounds int, done func()) {
	r.mu.Lock()
	index := r.state.ruleIndex
	r.mu.Unlock()
	if rounds == 0 || r.nodes == nil || r.nodes.NodesWithoutRules(index) == 0 {
		done()
		return
	}
	r.c.RunAfter(confirmPoll, "rollouts/confirm", func() { r.awaitConfirmation(rounds-1, done) })
}

// States of a roll-out as operators see them.
const (
	StateInProgress = "in_progress"
	StateCompleted  = "completed"
	StateRolledBack = "rolled_back"
)

// State returns the state of a roll-out as operators see it.
func (r *Rollout) State() string {
	switch r.Phase {
	case PhaseCompleted:
		return StateCompleted
	case PhaseRolledBack:
		return StateRolledBack
	}
	return StateInProgress
}
