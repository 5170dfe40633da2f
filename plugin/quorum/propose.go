package quorum

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/core/statemachine"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// maxProposalBytes bounds the size of one proposal; it is well below the size limit of a
// message.
const maxProposalBytes = 16 << 20

// headerBytes is the size of the header of an entry's data: the random ID of the process
// run that proposed it and the proposal's number in that run.
const headerBytes = 16

// leaderRetryDelay is the delay after a failed attempt to reach the leader; it prevents
// a busy loop of requests.
const leaderRetryDelay = raft.Instant(50 * time.Millisecond)

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

// proposal is a pending call of Propose.
type proposal struct {
	number   uint64
	data     []byte // with header
	deadline raft.Instant
	// retryAt is the earliest time of the next attempt to reach the leader.
	retryAt raft.Instant
	done    func(any, error)
	// mayBeAppended is true if a leader may have appended the entry. While it is set, the
	// proposal is not sent again, and it expires with the verdict MayHaveRun.
	mayBeAppended bool
	// forwardTerm is the term of the leader to which the proposal was forwarded last.
	forwardTerm uint64
	// mayBeSkipped is set if a snapshot may have replaced the entry since it was forwarded.
	mayBeSkipped bool
	// giveUpAt is the time from which the proposal is given up while the leader of forwardTerm still
	// leads; 0 unless the leader's response was lost.
	giveUpAt raft.Instant
	// index and term are the position of the entry in the log. They are 0 until the leader
	// has returned them.
	index, term uint64
}

// proposalTable holds the pending proposals; Quorum.mu guards it.
type proposalTable struct {
	origin     uint64                 // random ID of this run of the process
	lastNumber uint64                 // number of the last proposal
	pending    map[uint64]*proposal   // by number
	byIndex    map[uint64][]*proposal // by index in the log, once that is known
	queue      []*proposal            // not yet passed to a leader
	// unanswered holds the forwarded proposals whose responses were lost.
	unanswered []*proposal
	// appliedTerm is the term of the last applied entry.
	appliedTerm uint64
}

func (t *proposalTable) init(origin uint64) {
	t.origin, t.pending, t.byIndex = origin, map[uint64]*proposal{}, map[uint64][]*proposal{}
}

func (t *proposalTable) add(data []byte, deadline raft.Instant, done func(any, error)) {
	t.lastNumber++
	p := &proposal{number: t.lastNumber, deadline: deadline, done: done}
	p.data = make([]byte, 0, headerBytes+len(data))
	p.data = binary.BigEndian.AppendUint64(p.data, t.origin)
	p.data = binary.BigEndian.AppendUint64(p.data, p.number)
	p.data = append(p.data, data...)
	t.pending[p.number] = p
	t.queue = append(t.queue, p)
}

// setPosition records the position at which a leader appended the proposal.
func (t *proposalTable) setPosition(p *proposal, index, term uint64) {
	if t.pending[p.number] == p {
		p.index, p.term = index, term
		t.byIndex[index] = append(t.byIndex[index], p)
	}
}

// finish completes a proposal. It passes the call of done to call, which may defer it. It does
// nothing if the proposal is already complete.
func (t *proposalTable) finish(p *proposal, result any, err error, call func(func())) {
	if t.pending[p.number] != p {
		return
	}
	delete(t.pending, p.number)
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

// finishApplied completes the proposal of an applied entry. It fails proposals that were
// appended at the same index in a different term, because they can never be applied.
func (t *proposalTable) finishApplied(e *replog.Entry, result any, call func(func())) {
	t.appliedTerm = e.Term
	if e.Kind == replog.KindData && len(e.Data) >= headerBytes && binary.BigEndian.Uint64(e.Data) == t.origin {
		if p := t.pending[binary.BigEndian.Uint64(e.Data[8:])]; p != nil {
			t.finish(p, result, nil, call)
		}
	}
	for _, p := range append([]*proposal(nil), t.byIndex[e.Index]...) {
		if p.term != e.Term {
			t.finish(p, nil, verdict.Wrap(verdict.NotRun, errReplaced), call)
		}
	}
}

// finishSkipped fails the proposals at or below snapshotIndex, whose entries were replaced by
// a snapshot. This instance can't tell whether they were applied.
func (t *proposalTable) finishSkipped(snapshotIndex uint64, call func(func())) {
	for _, p := range t.pending {
		p.mayBeSkipped = p.mayBeSkipped || p.mayBeAppended && p.index == 0
	}
	t.unanswered = nil
	for index, list := range t.byIndex {
		if index > snapshotIndex {
			continue
		}
		for _, p := range append([]*proposal(nil), list...) {
			t.finish(p, nil, verdict.Wrap(verdict.MayHaveRun, errors.New("a snapshot covers the proposal")), call)
		}
	}
}

// addUnanswered records that the response to a forwarded proposal was lost.
func (t *proposalTable) addUnanswered(p *proposal) {
	if t.pending[p.number] == p && !p.mayBeSkipped {
		t.unanswered = append(t.unanswered, p)
	}
}

// takeUnappended removes and returns the pending proposals that no leader can append any more although
// their responses were lost. A leader appends a forwarded proposal only in the term for which it was
// sent. The terms in a log never fall, so behind an applied entry of a later term the entry cannot
// follow.
func (t *proposalTable) takeUnappended() []*proposal {
	var out []*proposal
	kept := t.unanswered[:0]
	for _, p := range t.unanswered {
		switch {
		case t.pending[p.number] != p: // complete
		case p.forwardTerm < t.appliedTerm:
			out = append(out, p)
		default:
			kept = append(kept, p)
		}
	}
	clear(t.unanswered[len(kept):])
	t.unanswered = kept
	return out
}

// giveUpUnanswered fails the proposals whose responses were lost and whose leader still leads when they
// ought to have been applied. leaderTerm is the term of the current leader; 0 if none is known.
func (t *proposalTable) giveUpUnanswered(now raft.Instant, leaderTerm uint64, call func(func())) {
	for _, p := range slices.Clone(t.unanswered) {
		if p.forwardTerm == leaderTerm && now >= p.giveUpAt {
			t.finish(p, nil, verdict.Wrap(verdict.MayHaveRun, errTimeout), call)
		}
	}
}

// expire fails the proposals whose deadline has passed, or all proposals if all is set.
func (t *proposalTable) expire(now raft.Instant, all bool, call func(func())) {
	for _, p := range t.pending {
		switch {
		case !all && now < p.deadline:
		case p.mayBeAppended:
			t.finish(p, nil, verdict.Wrap(verdict.MayHaveRun, errTimeout), call)
		default:
			t.finish(p, nil, verdict.Wrap(verdict.NotRun, errNoLeader), call)
		}
	}
}

// Propose implements api.Log.
func (q *Quorum) Propose(data []byte, timeout time.Duration, done func(result any, err error)) {
	q.proposeTo("", data, timeout, done)
}

// proposeTo is Propose for the state machine with the given name; "" is the main one.
func (q *Quorum) proposeTo(machine string, data []byte, timeout time.Duration, done func(result any, err error)) {
	data = statemachine.Entry(machine, data)
	q.metrics.proposals.Inc()
	if len(data) > maxProposalBytes {
		done(nil, verdict.Wrap(verdict.NotRun, errors.Newf("proposal of %d bytes exceeds %d", len(data), maxProposalBytes)))
		return
	}
	q.mu.Lock()
	if q.stopping || !q.started {
		q.mu.Unlock()
		done(nil, verdict.Wrap(verdict.NotRun, errStopping))
		return
	}
	q.proposals.add(data, q.now()+raft.Instant(timeout), done)
	q.schedulePump()
	q.mu.Unlock()
}

// routeProposals passes queued proposals to the leader, which may be this instance or
// another one; mu is held. While no leader is known, they stay queued until their deadline.
func (q *Quorum) routeProposals(now raft.Instant) {
	queue := q.proposals.queue
	q.proposals.queue = nil
	for _, p := range queue {
		if q.proposals.pending[p.number] != p {
			continue // it has expired
		}
		if now < p.retryAt {
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
			p.mayBeAppended = true
			q.proposals.setPosition(p, index, term)
		case errors.Is(err, raft.ErrOverloaded):
			q.proposals.finish(p, nil, verdict.Wrap(verdict.NotRun, err), q.afterUnlock)
		default:
			q.proposals.queue = append(q.proposals.queue, p)
		}
	}
}

// forward sends a proposal to the leader on another instance; mu is held. If the result
// doesn't show whether the leader appended it, the proposal is not sent again and stays
// pending until it is applied or expires.
func (q *Quorum) forward(p *proposal) {
	name := q.nameOf(q.core.Leader())
	link := q.links[name]
	if link == nil {
		q.proposals.queue = append(q.proposals.queue, p)
		return
	}
	p.mayBeAppended, p.forwardTerm = true, q.core.Term()
	term := p.forwardTerm
	timeout := time.Duration(p.deadline - q.now())
	q.metrics.forwarded.Inc()
	q.afterUnlock(func() {
		c := link.Conn()
		if c == nil {
			q.submit(func(raft.Instant) { q.requeue(p) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		c.CallAsync(ctx, "quorum.propose", proposeRequest{Data: p.data, Term: term}, func(raw []byte, err error) {
			cancel()
			q.submit(func(raft.Instant) { q.handleForwarded(p, raw, err) })
		})
	})
}

// requeue queues a proposal for another attempt. No leader may have appended it; mu is held.
func (q *Quorum) requeue(p *proposal) {
	p.mayBeAppended, p.mayBeSkipped, p.giveUpAt = false, false, 0
	p.retryAt = q.now() + leaderRetryDelay
	if q.proposals.pending[p.number] == p {
		q.proposals.queue = append(q.proposals.queue, p)
	}
}

// requeueUnappended queues the proposals whose responses were lost and that turned out not to have been
// appended; mu is held.
func (q *Quorum) requeueUnappended() {
	for _, p := range q.proposals.takeUnappended() {
		q.requeue(p)
	}
}

// handleForwarded handles the leader's response to a forwarded proposal; mu is held.
func (q *Quorum) handleForwarded(p *proposal, raw []byte, err error) {
	var resp proposeResponse
	switch {
	case rpc.ErrorCode(err) == rpc.CodeNotLeader:
		q.requeue(p)
		return
	case rpc.ErrorCode(err) == rpc.CodeOverloaded:
		q.proposals.finish(p, nil, verdict.Wrap(verdict.NotRun, errOverloaded), q.afterUnlock)
		return
	case err != nil:
		// The leader may or may not have appended the entry. If it has stopped, an entry of the next
		// leader tells. If it still leads, nothing may tell.
		p.giveUpAt = q.now() + 2*raft.Instant(q.s.ElectionTimeout.AsDuration())
		q.proposals.addUnanswered(p)
		q.requeueUnappended()
		return
	case json.Unmarshal(raw, &resp) != nil || resp.Index == 0:
		return
	}
	if q.core.AppliedIndex() < resp.Index {
		q.proposals.setPosition(p, resp.Index, resp.Term)
		return
	}
	// The index was applied before this response arrived and didn't complete the proposal.
	if term, ok := q.core.TermAt(resp.Index); ok && term != resp.Term {
		q.proposals.finish(p, nil, verdict.Wrap(verdict.NotRun, errReplaced), q.afterUnlock)
	}
}

// onPropose handles a forwarded proposal.
func (q *Quorum) onPropose(_ *rpc.Conn, r *rpc.Request) {
	var m proposeRequest
	if err := r.Decode(&m); err != nil || len(m.Data) < headerBytes || len(m.Data) > maxProposalBytes+headerBytes {
		r.ReplyError(rpc.CodeInvalidParams, errors.New("proposal is malformed"))
		return
	}
	q.submit(func(now raft.Instant) {
		index, term, err := uint64(0), uint64(0), raft.ErrNotLeader
		if m.Term == 0 || m.Term == q.core.Term() {
			index, term, err = q.core.Propose(now, m.Data)
		}
		q.afterUnlock(func() {
			switch {
			case err == nil:
				r.Reply(proposeResponse{Index: index, Term: term})
			case errors.Is(err, raft.ErrOverloaded):
				r.ReplyError(rpc.CodeOverloaded, err)
			default:
				r.ReplyError(rpc.CodeNotLeader, err)
			}
		})
	})
}
