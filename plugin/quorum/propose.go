package quorum

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// maxProposal bounds the bytes of one proposal, well below the bound of a message.
const maxProposal = 16 << 20

// headerBytes is the size of the header of an entry's data: the start of the
// process that proposed it and the proposal's number there.
const headerBytes = 16

// leaderRetry is the pause after a failed attempt to reach the leader; it keeps an
// instance from asking in a loop.
const leaderRetry = raft.Instant(50 * time.Millisecond)

var (
	errTimeout    = errors.New("proposal was not decided in time")
	errNoLeader   = errors.New("no leader could be reached in time")
	errReplaced   = errors.New("another entry was committed in place of the proposal")
	errStopping   = errors.New("instance is starting or stopping")
	errOverloaded = errors.New("leader has too many uncommitted proposals")
)

// payload returns an entry's data without its header.
func payload(data []byte) []byte {
	if len(data) < headerBytes {
		return nil
	}
	return data[headerBytes:]
}

// proposal is a call of Propose that is not answered yet.
type proposal struct {
	number   uint64
	data     []byte // with header
	deadline raft.Instant
	// retry is the earliest time of the next attempt to reach the leader.
	retry raft.Instant
	done  func(any, error)
	// handed tells that a leader may have appended the entry.
	handed bool
	// index and term name the entry once the leader has told them.
	index, term uint64
}

// proposals is the table of unanswered proposals; Quorum.mu guards it.
type proposals struct {
	origin  uint64
	last    uint64
	open    map[uint64]*proposal
	byIndex map[uint64][]*proposal
	queue   []*proposal // not yet handed to a leader
}

func (t *proposals) init(origin uint64) {
	t.origin, t.open, t.byIndex = origin, map[uint64]*proposal{}, map[uint64][]*proposal{}
}

func (t *proposals) add(data []byte, deadline raft.Instant, done func(any, error)) {
	t.last++
	p := &proposal{number: t.last, deadline: deadline, done: done}
	p.data = make([]byte, 0, headerBytes+len(data))
	p.data = binary.BigEndian.AppendUint64(p.data, t.origin)
	p.data = binary.BigEndian.AppendUint64(p.data, p.number)
	p.data = append(p.data, data...)
	t.open[p.number] = p
	t.queue = append(t.queue, p)
}

// placed records the position at which a leader appended the proposal.
func (t *proposals) placed(p *proposal, index, term uint64) {
	if t.open[p.number] == p {
		p.index, p.term = index, term
		t.byIndex[index] = append(t.byIndex[index], p)
	}
}

// finish answers a proposal, once.
func (t *proposals) finish(p *proposal, result any, err error, call func(func())) {
	if t.open[p.number] != p {
		return
	}
	delete(t.open, p.number)
	if p.index != 0 {
		list := t.byIndex[p.index]
		for i := range list {
			if list[i] == p {
				list = append(list[:i], list[i+1:]...)
				break
			}
		}
		if len(list) == 0 {
			delete(t.byIndex, p.index)
		} else {
			t.byIndex[p.index] = list
		}
	}
	call(func() { p.done(result, err) })
}

// applied answers the proposal of an applied entry, and those that were to stand
// at its index in another term: they can never be applied.
func (t *proposals) applied(e *replog.Entry, result any, call func(func())) {
	if e.Kind == replog.KindData && len(e.Data) >= headerBytes && binary.BigEndian.Uint64(e.Data) == t.origin {
		if p := t.open[binary.BigEndian.Uint64(e.Data[8:])]; p != nil {
			t.finish(p, result, nil, call)
		}
	}
	for _, p := range append([]*proposal(nil), t.byIndex[e.Index]...) {
		if p.term != e.Term {
			t.finish(p, nil, verdict.Wrap(verdict.NotRun, errReplaced), call)
		}
	}
}

// skipped answers proposals whose entries a snapshot replaced: whether they were
// applied cannot be told here.
func (t *proposals) skipped(to uint64, call func(func())) {
	for index, list := range t.byIndex {
		if index > to {
			continue
		}
		for _, p := range append([]*proposal(nil), list...) {
			t.finish(p, nil, verdict.Wrap(verdict.MayHaveRun, errors.New("a snapshot covers the proposal")), call)
		}
	}
}

// expire answers proposals whose time is up; all of them when all is set.
func (t *proposals) expire(now raft.Instant, all bool, call func(func())) {
	for _, p := range t.open {
		switch {
		case !all && now < p.deadline:
		case p.handed:
			t.finish(p, nil, verdict.Wrap(verdict.MayHaveRun, errTimeout), call)
		default:
			t.finish(p, nil, verdict.Wrap(verdict.NotRun, errNoLeader), call)
		}
	}
}

// Propose implements api.Log.
func (q *Quorum) Propose(data []byte, timeout time.Duration, done func(result any, err error)) {
	q.metrics.proposals.Inc()
	if len(data) > maxProposal {
		done(nil, verdict.Wrap(verdict.NotRun, errors.Newf("proposal of %d bytes exceeds %d", len(data), maxProposal)))
		return
	}
	q.mu.Lock()
	if q.stopping || !q.started {
		q.mu.Unlock()
		done(nil, verdict.Wrap(verdict.NotRun, errStopping))
		return
	}
	q.proposals.add(data, q.now()+raft.Instant(timeout), done)
	q.wake()
	q.mu.Unlock()
}

// route hands queued proposals to the leader, here or on another instance; mu is
// held. Without a leader they stay queued until their deadline.
func (q *Quorum) route(now raft.Instant) {
	queue := q.proposals.queue
	q.proposals.queue = nil
	for _, p := range queue {
		if q.proposals.open[p.number] != p {
			continue // its time was up
		}
		if now < p.retry {
			q.proposals.queue = append(q.proposals.queue, p)
			continue
		}
		if q.core.State() != raft.Leader {
			q.forward(p)
			continue
		}
		index, term, err := q.core.Propose(now, p.data)
		switch {
		case err == nil:
			p.handed = true
			q.proposals.placed(p, index, term)
		case errors.Is(err, raft.ErrOverloaded):
			q.proposals.finish(p, nil, verdict.Wrap(verdict.NotRun, err), q.call)
		default:
			q.proposals.queue = append(q.proposals.queue, p)
		}
	}
}

// forward sends a proposal to the leader; mu is held. It is sent once only: after
// an answer that leaves open whether the leader appended it, it stays undecided.
func (q *Quorum) forward(p *proposal) {
	name := q.nameOf(q.core.Leader())
	link := q.links[name]
	if link == nil {
		q.proposals.queue = append(q.proposals.queue, p)
		return
	}
	p.handed = true
	left := time.Duration(p.deadline - q.now())
	q.metrics.forwarded.Inc()
	q.call(func() {
		c := link.Conn()
		if c == nil {
			q.submit(func(raft.Instant) { q.unsent(p) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		c.Go(ctx, "quorum.propose", proposeMessage{Data: p.data}, func(raw []byte, err error) {
			cancel()
			q.submit(func(raft.Instant) { q.forwarded(p, raw, err) })
		})
	})
}

// unsent queues a proposal again that no leader has appended; mu is held.
func (q *Quorum) unsent(p *proposal) {
	p.handed = false
	p.retry = q.now() + leaderRetry
	if q.proposals.open[p.number] == p {
		q.proposals.queue = append(q.proposals.queue, p)
	}
}

// forwarded handles the leader's answer; mu is held.
func (q *Quorum) forwarded(p *proposal, raw []byte, err error) {
	var a proposeAnswer
	switch {
	case rpc.Code(err) == rpc.CodeNotLeader:
		q.unsent(p)
		return
	case rpc.Code(err) == rpc.CodeOverloaded:
		q.proposals.finish(p, nil, verdict.Wrap(verdict.NotRun, errOverloaded), q.call)
		return
	case err != nil:
		// The entry may or may not be in the log. It is applied within the time of an
		// election or may stay undecided for long, so the caller is told early.
		p.deadline = min(p.deadline, q.now()+2*raft.Instant(q.s.ElectionTimeout.D()))
		return
	case json.Unmarshal(raw, &a) != nil || a.Index == 0:
		return
	}
	if q.core.AppliedIndex() < a.Index {
		q.proposals.placed(p, a.Index, a.Term)
		return
	}
	// Applied before this answer, without answering the proposal.
	if term, ok := q.core.TermAt(a.Index); ok && term != a.Term {
		q.proposals.finish(p, nil, verdict.Wrap(verdict.NotRun, errReplaced), q.call)
	}
}

// onPropose handles a forwarded proposal.
func (q *Quorum) onPropose(_ *rpc.Conn, r *rpc.Request) {
	var m proposeMessage
	if err := r.Decode(&m); err != nil || len(m.Data) < headerBytes || len(m.Data) > maxProposal+headerBytes {
		r.Fail(rpc.CodeMalformed, errors.New("proposal is malformed"))
		return
	}
	q.submit(func(now raft.Instant) {
		index, term, err := q.core.Propose(now, m.Data)
		q.call(func() {
			switch {
			case err == nil:
				r.Reply(proposeAnswer{Index: index, Term: term})
			case errors.Is(err, raft.ErrOverloaded):
				r.Fail(rpc.CodeOverloaded, err)
			default:
				r.Fail(rpc.CodeNotLeader, err)
			}
		})
	})
}
