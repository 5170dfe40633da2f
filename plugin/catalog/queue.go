package catalog

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

var errQueueTimeout = errors.New("other configurations were in progress for too long")

// submission is a configuration that operators have sent to this instance and that is not decided. The same
// configuration, sent again meanwhile, joins it.
type submission struct {
	id, operator string
	// base is the number of the configuration that it was derived from.
	base uint64
	// next is nil once it is proposed: the proposal holds its own copy.
	next     *resource.Configuration
	deadline time.Time
	done     []func(change.Outcome, error)
	// confirming is set while a barrier is in progress because the base has not come into force on this instance;
	// confirmed is set after it.
	confirming, confirmed bool
}

// answer is the end of a submission.
type answer struct {
	done []func(change.Outcome, error)
	out  change.Outcome
	err  error
}

func (a *answer) deliver() {
	for _, f := range a.done {
		f(a.out, a.err)
	}
}

// configurationQueue decides which of the submitted configurations is proposed next. At most one is in the log
// undecided: of several with the same base only one can be accepted, and each may be megabytes long.
// Catalog.mu guards it.
type configurationQueue struct {
	// proposed is in the log, and its base is in force; nil if there is none.
	proposed *submission
	waiting  []*submission
}

// queueWork is what has to be done after a change of the queue or of the state.
type queueWork struct {
	answers []answer
	// propose is the submission to propose, as a patch of base or in full if base is nil.
	propose *submission
	base    *resource.Configuration
	// confirm lists the submissions that need a barrier.
	confirm []*submission
}

func (q *configurationQueue) isEmpty() bool { return q.proposed == nil && len(q.waiting) == 0 }

// add queues a submission, or joins it to that of the same configuration.
func (q *configurationQueue) add(s *submission) {
	if p := q.proposed; p != nil && p.id == s.id {
		p.done = append(p.done, s.done...)
		return
	}
	for _, w := range q.waiting {
		if w.id == s.id {
			w.done = append(w.done, s.done...)
			return
		}
	}
	q.waiting = append(q.waiting, s)
}

// advance removes the submissions that the state decides and those whose time is over, and chooses what is done next.
func (q *configurationQueue) advance(s *state, now time.Time) queueWork {
	var work queueWork
	if p := q.proposed; p != nil {
		if out, decided := s.decidedConfiguration(p.id, p.base); decided {
			work.answers = append(work.answers, answer{p.done, out, nil})
			q.proposed = nil
		}
	}
	waiting := q.waiting
	q.waiting = nil
	for _, w := range waiting {
		out, decided := s.decidedConfiguration(w.id, w.base)
		current := s.configurationNumber()
		switch {
		case decided:
			work.answers = append(work.answers, answer{w.done, out, nil})
		case w.base > current && w.confirmed:
			work.answers = append(work.answers, answer{w.done, s.supersededOutcome(w.id, w.base), nil})
		case !now.Before(w.deadline):
			work.answers = append(work.answers, answer{w.done, change.Outcome{}, verdict.Wrap(verdict.NotRun, errQueueTimeout)})
		case w.base > current:
			if !w.confirming {
				w.confirming = true
				work.confirm = append(work.confirm, w)
			}
			q.waiting = append(q.waiting, w)
		case q.proposed == nil:
			q.proposed, work.propose = w, w
			if s.configuration != nil {
				work.base = s.configuration.config
			}
		default:
			q.waiting = append(q.waiting, w)
		}
	}
	return work
}

// endProposal removes a submission whose proposal has ended, and returns the answer to it; nil if it has been answered.
func (q *configurationQueue) endProposal(p *submission, out change.Outcome, err error) *answer {
	if q.proposed != p {
		return nil
	}
	q.proposed = nil
	return &answer{p.done, out, err}
}

// endBarrier records the result of a barrier. It returns the answer if the barrier has failed.
func (q *configurationQueue) endBarrier(w *submission, err error) *answer {
	w.confirming, w.confirmed = false, err == nil
	if err == nil {
		return nil
	}
	for i := range q.waiting {
		if q.waiting[i] == w {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return &answer{w.done, change.Outcome{}, verdict.Wrap(verdict.NotRun, err)}
		}
	}
	return nil
}
