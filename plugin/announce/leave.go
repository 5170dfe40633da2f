package announce

import (
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/clock"
)

// stopStep is the current step of a planned stop.
type stopStep int

const (
	stepDrain stopStep = iota
	stepLinger
	stepFinishCalls
	stepWithdraw
	stepDone
)

// plannedStop is the state of a planned stop. Guarded by Announce.mu.
type plannedStop struct {
	step stopStep
	// awaitedRevision is the revision whose confirmation ends the current step.
	awaitedRevision uint64
	timer           clock.Timer
	// done holds the callbacks that are called when the planned stop is complete.
	done []func()
}

// Leave implements api.Announcer.
func (a *Announce) Leave(done func()) {
	a.mu.Lock()
	if ps := a.stop; ps != nil {
		if ps.step != stepDone {
			ps.done = append(ps.done, done)
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		done()
		return
	}
	ps := &plannedStop{done: []func(){done}}
	a.stop = ps
	a.probeGen++ // stops the probes
	announced := a.announcer.desiredRecord.Node != "" && a.announcer.desiredRecord.State != resource.StateGone
	a.mu.Unlock()
	a.c.Log.Log(evLeaving).Send()
	if !announced {
		a.rejectAndWithdraw(ps)
		return
	}
	a.announceStep(ps, stepDrain, resource.StateDraining)
}

// announceStep announces a state. The planned stop continues when the announcement is confirmed,
// or after CallTimeout.
func (a *Announce) announceStep(ps *plannedStop, step stopStep, state resource.EndpointState) {
	a.mu.Lock()
	ps.step = step
	a.announcer.setState(state, 0)
	ps.awaitedRevision = a.announcer.desiredRecord.Revision + 1
	if a.announcer.inFlightRevision == 0 && !a.announcer.dirty {
		ps.awaitedRevision = a.announcer.confirmedRevision // the state has already been announced
	}
	ps.timer = a.c.RunAfter(a.s.CallTimeout.AsDuration(), jobKey, func() { a.onConfirmTimeout(ps, step) })
	confirmed := a.announcer.confirmedRevision
	a.mu.Unlock()
	a.onConfirmed(ps, confirmed)
	a.announce()
}

// onConfirmTimeout continues the planned stop without the confirmation of an announcement.
func (a *Announce) onConfirmTimeout(ps *plannedStop, step stopStep) {
	if a.advance(ps, step) {
		a.c.Log.Log(evUnconfirmed).Send()
		a.startNextStep(ps, step)
	}
}

// onConfirmed continues the planned stop if the given confirmed revision is the one that the current
// step waits for, or a later one.
func (a *Announce) onConfirmed(ps *plannedStop, revision uint64) {
	a.mu.Lock()
	step, ok := ps.step, revision >= ps.awaitedRevision
	a.mu.Unlock()
	if ok && (step == stepDrain || step == stepWithdraw) && a.advance(ps, step) {
		a.startNextStep(ps, step)
	}
}

// advance moves the planned stop from the given step to the next one. It returns false if the
// planned stop is no longer in that step.
func (a *Announce) advance(ps *plannedStop, from stopStep) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ps.step != from {
		return false
	}
	ps.step++
	if ps.timer != nil {
		ps.timer.Stop()
	}
	return true
}

// startNextStep starts the step that follows the given one, whose announcement has been confirmed or
// has timed out.
func (a *Announce) startNextStep(ps *plannedStop, step stopStep) {
	if step == stepWithdraw {
		a.completeStop(ps)
		return
	}
	a.c.RunAfter(a.s.Linger.AsDuration(), jobKey, func() { a.rejectAndWithdraw(ps) })
}

// rejectAndWithdraw calls the OnLeave callback, which rejects further calls and finishes those
// in flight, and then withdraws the record.
func (a *Announce) rejectAndWithdraw(ps *plannedStop) {
	a.mu.Lock()
	ps.step = stepFinishCalls
	announced := a.announcer.desiredRecord.Node != ""
	a.mu.Unlock()
	a.onLeave(func() {
		if announced {
			a.announceStep(ps, stepWithdraw, resource.StateGone)
			return
		}
		a.completeStop(ps)
	})
}

func (a *Announce) completeStop(ps *plannedStop) {
	a.mu.Lock()
	ps.step = stepDone
	done := ps.done
	ps.done = nil
	a.mu.Unlock()
	a.c.Log.Log(evLeft).Send()
	for _, f := range done {
		f()
	}
}
