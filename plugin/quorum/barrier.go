package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/core/verdict"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

var errNotConfirmed = errors.New("read was not confirmed by a majority in time")

// barrier is a pending call of Barrier. It completes once the log is applied up to its read index, a
// commit index that the leader returns after a majority has confirmed its leadership.
type barrier struct {
	deadline raft.Instant
	done     func(error)
	// requestedAt is the time when the read index was requested. Entries committed before
	// that time are at or below the read index.
	requestedAt raft.Instant
	// index is the read index; 0 until the leader has returned it.
	index uint64
}

// readGroup holds the barriers that share one ReadIndex call of the leader.
type readGroup struct {
	local  []*barrier
	remote []*rpc.Request // requests of followers
}

// barrierTable holds the pending barriers; Quorum.mu guards it.
type barrierTable struct {
	queue          []*barrier            // local barriers whose read index is not yet requested
	remoteQueue    []*rpc.Request        // requests of followers whose read index is not yet requested
	requestPending bool                  // a request to the leader is pending
	retryAt        raft.Instant          // earliest time of the next request to the leader
	indexed        []*barrier            // barriers whose read index is known but not yet applied
	groups         map[uint64]*readGroup // by the number passed to ReadIndex as context
	lastGroup      uint64                // last key of groups
}

// Barrier implements api.Log.
func (q *Quorum) Barrier(timeout time.Duration, done func(err error)) {
	q.metrics.barriers.Inc()
	q.mu.Lock()
	if q.stopping || !q.started {
		q.mu.Unlock()
		done(verdict.Wrap(verdict.NotRun, errStopping))
		return
	}
	q.barriers.queue = append(q.barriers.queue, &barrier{deadline: q.now() + raft.Instant(timeout), done: done})
	q.schedulePump()
	q.mu.Unlock()
}

// startBarriers requests a read index for all queued barriers: the leader requests it from
// its core, other members request it from the leader; mu is held.
func (q *Quorum) startBarriers(now raft.Instant) {
	b := &q.barriers
	if q.core.State() != raft.Leader {
		q.refuseRemoteBarriers()
		q.requestReadIndex(now)
		return
	}
	if len(b.queue) == 0 && len(b.remoteQueue) == 0 {
		return
	}
	b.lastGroup++
	for _, waiter := range b.queue {
		waiter.requestedAt = now
	}
	b.groups[b.lastGroup] = &readGroup{local: b.queue, remote: b.remoteQueue}
	b.queue, b.remoteQueue = nil, nil
	_ = q.core.ReadIndex(now, b.lastGroup) // fails only on a member that is not the leader
}

// refuseRemoteBarriers refuses the queued requests of followers, because this member
// is not the leader; mu is held.
func (q *Quorum) refuseRemoteBarriers() {
	for _, r := range q.barriers.remoteQueue {
		q.afterUnlock(func() { r.ReplyError(rpc.CodeNotLeader, raft.ErrNotLeader) })
	}
	q.barriers.remoteQueue = nil
}

// requestReadIndex sends the leader one request for all queued barriers. Barriers that are
// queued while that request is pending share the next one; mu is held.
func (q *Quorum) requestReadIndex(now raft.Instant) {
	b := &q.barriers
	link := q.links[q.nameOf(q.core.Leader())]
	if len(b.queue) == 0 || b.requestPending || link == nil || now < b.retryAt {
		return
	}
	group := b.queue
	b.queue, b.requestPending = nil, true
	timeout := raft.Instant(0)
	for _, waiter := range group {
		timeout = max(timeout, waiter.deadline-now)
		waiter.requestedAt = now
	}
	// Later barriers wait for this request, so a leader that does not answer must not
	// delay them for longer than an election takes.
	timeout = min(timeout, 2*raft.Instant(q.s.ElectionTimeout.AsDuration()))
	q.afterUnlock(func() {
		c := link.Conn()
		if c == nil {
			q.submit(func(now raft.Instant) { q.setReadIndex(now, group, 0) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeout))
		c.CallAsync(ctx, "quorum.barrier", struct{}{}, func(raw []byte, err error) {
			cancel()
			var resp barrierResponse
			if err != nil || json.Unmarshal(raw, &resp) != nil {
				resp.Index = 0
			}
			q.submit(func(now raft.Instant) { q.setReadIndex(now, group, resp.Index) })
		})
	})
}

// setReadIndex records the read index of a group of barriers. If index is 0, the request
// has failed, and the barriers are queued again; mu is held.
func (q *Quorum) setReadIndex(now raft.Instant, group []*barrier, index uint64) {
	b := &q.barriers
	b.requestPending = false
	if index == 0 {
		b.retryAt = now + leaderRetryDelay
		b.queue = append(b.queue, group...)
		return
	}
	for _, waiter := range group {
		waiter.index = index
	}
	b.indexed = append(b.indexed, group...)
	q.completeBarriers(q.core.AppliedIndex())
}

// handleReads handles the results of ReadIndex calls; mu is held.
func (q *Quorum) handleReads(reads []raft.ReadState) {
	for _, r := range reads {
		g := q.barriers.groups[r.Context]
		delete(q.barriers.groups, r.Context)
		if g == nil {
			continue
		}
		if r.LeadershipLost {
			q.barriers.queue = append(q.barriers.queue, g.local...)
			q.barriers.remoteQueue = append(q.barriers.remoteQueue, g.remote...)
			q.schedulePump()
			continue
		}
		for _, req := range g.remote {
			q.afterUnlock(func() { req.Reply(barrierResponse{Index: r.Index}) })
		}
		for _, waiter := range g.local {
			waiter.index = r.Index
		}
		q.barriers.indexed = append(q.barriers.indexed, g.local...)
	}
	if len(reads) > 0 {
		q.completeBarriers(q.core.AppliedIndex())
	}
}

// completeBarriers completes the barriers whose read index is applied; mu is held.
func (q *Quorum) completeBarriers(applied uint64) {
	kept := q.barriers.indexed[:0]
	for _, waiter := range q.barriers.indexed {
		if waiter.index > applied {
			kept = append(kept, waiter)
			continue
		}
		q.core.MarkCommitCurrent(waiter.requestedAt)
		q.afterUnlock(func() { waiter.done(nil) })
	}
	clear(q.barriers.indexed[len(kept):])
	q.barriers.indexed = kept
}

// expire fails the proposals and barriers whose deadline has passed; mu is held. It
// scans the tables only once per tick, because they can be long.
func (q *Quorum) expire(now raft.Instant) {
	if now < q.nextExpiry {
		return
	}
	q.nextExpiry = now + raft.Instant(tickInterval)
	q.proposals.expire(now, false, q.afterUnlock)
	leaderTerm := uint64(0)
	if q.core.Leader() != 0 {
		leaderTerm = q.core.Term()
	}
	q.proposals.giveUpUnanswered(now, leaderTerm, q.afterUnlock)
	q.barriers.queue = q.expireBarriers(q.barriers.queue, now)
	q.barriers.indexed = q.expireBarriers(q.barriers.indexed, now)
	for _, g := range q.barriers.groups {
		g.local = q.expireBarriers(g.local, now)
	}
}

// expireBarriers fails the barriers whose deadline has passed and returns the others; mu
// is held.
func (q *Quorum) expireBarriers(barriers []*barrier, now raft.Instant) []*barrier {
	kept := barriers[:0]
	for _, waiter := range barriers {
		if now < waiter.deadline {
			kept = append(kept, waiter)
			continue
		}
		q.afterUnlock(func() { waiter.done(verdict.Wrap(verdict.NotRun, errNotConfirmed)) })
	}
	return kept
}

// failAll fails all pending proposals and barriers because the instance stops; mu is
// held.
func (q *Quorum) failAll() {
	const maxInstant = raft.Instant(1<<63 - 1)
	q.proposals.expire(maxInstant, true, q.afterUnlock)
	q.expire(maxInstant)
	for id, g := range q.barriers.groups {
		q.barriers.remoteQueue = append(q.barriers.remoteQueue, g.remote...)
		delete(q.barriers.groups, id)
	}
	q.refuseRemoteBarriers()
}

// onBarrier handles a follower's request for a read index.
func (q *Quorum) onBarrier(_ *rpc.Conn, r *rpc.Request) {
	q.submit(func(raft.Instant) { q.barriers.remoteQueue = append(q.barriers.remoteQueue, r) })
}
