package announce

import (
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/clock"
)

// leaveStep is the next step of a planned stop.
type leaveStep int

const (
	stepDrain leaveStep = iota
	stepLinger
	stepFinish
	stepWithdraw
	stepDone
)

// leave is a planned stop. Guarded by Announce.mu.
type leave struct {
	step leaveStep
	// awaits is the revision whose confirmation ends the present step.
	awaits uint64
	timer  clock.Timer
	done   []func()
}

// Leave implements api.Announcer.
func (a *Announce) Leave(done func()) {
	a.mu.Lock()
	if l := a.leave; l != nil {
		if l.step != stepDone {
			l.done = append(l.done, done)
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		done()
		return
	}
	l := &leave{done: []func(){done}}
	a.leave = l
	a.probing++ // ends the probes
	known := a.record.desired.Node != "" && a.record.desired.State != resource.StateGone
	a.mu.Unlock()
	a.c.Log.Log(evLeaving).Send()
	if !known {
		a.finish(l)
		return
	}
	a.tell(l, stepDrain, resource.StateDraining)
}

// tell announces a state and goes on when it is confirmed, or after CallTimeout.
func (a *Announce) tell(l *leave, step leaveStep, state resource.EndpointState) {
	a.mu.Lock()
	l.step = step
	a.record.set(state, 0)
	l.awaits = a.record.desired.Revision + 1
	if a.record.flying == 0 && !a.record.dirty {
		l.awaits = a.record.confirmed // the state was announced before
	}
	l.timer = a.c.After(a.s.CallTimeout.D(), jobKey, func() { a.late(l, step) })
	confirmed := a.record.confirmed
	a.mu.Unlock()
	a.confirmed(l, confirmed)
	a.announce()
}

func (a *Announce) late(l *leave, step leaveStep) {
	if a.advance(l, step) {
		a.c.Log.Log(evUnconfirmed).Send()
		a.after(l, step)
	}
}

// confirmed goes on with the planned stop when the announcement it waits for,
// or a later one, is confirmed.
func (a *Announce) confirmed(l *leave, revision uint64) {
	a.mu.Lock()
	step, ok := l.step, revision >= l.awaits
	a.mu.Unlock()
	if ok && (step == stepDrain || step == stepWithdraw) && a.advance(l, step) {
		a.after(l, step)
	}
}

// advance leaves a step exactly once.
func (a *Announce) advance(l *leave, from leaveStep) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.step != from {
		return false
	}
	l.step++
	if l.timer != nil {
		l.timer.Stop()
	}
	return true
}

// after begins the step that follows a confirmed or late announcement.
func (a *Announce) after(l *leave, step leaveStep) {
	if step == stepWithdraw {
		a.complete(l)
		return
	}
	a.c.After(a.s.Linger.D(), jobKey, func() { a.finish(l) })
}

// finish runs the last step of the inbound side and withdraws the record.
func (a *Announce) finish(l *leave) {
	a.mu.Lock()
	l.step = stepFinish
	known := a.record.desired.Node != ""
	a.mu.Unlock()
	a.last(func() {
		if known {
			a.tell(l, stepWithdraw, resource.StateGone)
			return
		}
		a.complete(l)
	})
}

func (a *Announce) complete(l *leave) {
	a.mu.Lock()
	l.step = stepDone
	done := l.done
	l.done = nil
	a.mu.Unlock()
	a.c.Log.Log(evLeft).Send()
	for _, f := range done {
		f()
	}
}
