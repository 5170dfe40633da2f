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

var errBarrier = errors.New("read was not confirmed by a majority in time")

// barrier is a call of Barrier that is not answered yet.
type barrier struct {
	deadline raft.Instant
	done     func(error)
	// asked is when the leader was asked; everything committed before it is at or
	// below index.
	asked raft.Instant
	// index is the position to be applied; 0 before the leader has told it.
	index uint64
}

// readGroup is one ReadIndex of the leader on behalf of all that asked before it.
type readGroup struct {
	local  []*barrier
	remote []*rpc.Request
}

// barriers is the table of unanswered barriers; Quorum.mu guards it.
type barriers struct {
	waiting []*barrier // not yet asked for
	remote  []*rpc.Request
	asked   bool // a request to the leader is under way
	retry   raft.Instant
	indexed []*barrier // to be applied
	groups  map[uint64]*readGroup
	last    uint64
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
	q.barriers.waiting = append(q.barriers.waiting, &barrier{deadline: q.now() + raft.Instant(timeout), done: done})
	q.wake()
	q.mu.Unlock()
}

// startBarriers asks for an index on behalf of everything that waits; mu is held.
func (q *Quorum) startBarriers(now raft.Instant) {
	b := &q.barriers
	if q.core.State() != raft.Leader {
		q.refuseRemote()
		q.askLeader(now)
		return
	}
	if len(b.waiting) == 0 && len(b.remote) == 0 {
		return
	}
	b.last++
	for _, w := range b.waiting {
		w.asked = now
	}
	b.groups[b.last] = &readGroup{local: b.waiting, remote: b.remote}
	b.waiting, b.remote = nil, nil
	_ = q.core.ReadIndex(now, b.last) // fails only on a member that is not the leader
}

func (q *Quorum) refuseRemote() {
	for _, r := range q.barriers.remote {
		q.call(func() { r.Fail(rpc.CodeNotLeader, raft.ErrNotLeader) })
	}
	q.barriers.remote = nil
}

// askLeader sends one request for all waiting barriers; those that come later
// wait for the next one.
func (q *Quorum) askLeader(now raft.Instant) {
	b := &q.barriers
	link := q.links[q.nameOf(q.core.Leader())]
	if len(b.waiting) == 0 || b.asked || link == nil || now < b.retry {
		return
	}
	group := b.waiting
	b.waiting, b.asked = nil, true
	left := raft.Instant(0)
	for _, w := range group {
		left = max(left, w.deadline-now)
		w.asked = now
	}
	// An unanswered request must not hold up the barriers that come after it.
	left = min(left, 2*raft.Instant(q.s.ElectionTimeout.D()))
	q.call(func() {
		c := link.Conn()
		if c == nil {
			q.submit(func(now raft.Instant) { q.barrierIndex(now, group, 0) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(left))
		c.Go(ctx, "quorum.barrier", struct{}{}, func(raw []byte, err error) {
			cancel()
			var a barrierAnswer
			if err != nil || json.Unmarshal(raw, &a) != nil {
				a.Index = 0
			}
			q.submit(func(now raft.Instant) { q.barrierIndex(now, group, a.Index) })
		})
	})
}

// barrierIndex gives a group the index of its read; 0 queues it again.
func (q *Quorum) barrierIndex(now raft.Instant, group []*barrier, index uint64) {
	b := &q.barriers
	b.asked = false
	if index == 0 {
		b.retry = now + leaderRetry
		b.waiting = append(b.waiting, group...)
		return
	}
	for _, w := range group {
		w.index = index
	}
	b.indexed = append(b.indexed, group...)
	q.barriersApplied(q.core.AppliedIndex())
}

// readsDone handles the answers of the core; mu is held.
func (q *Quorum) readsDone(reads []raft.ReadState) {
	for _, r := range reads {
		g := q.barriers.groups[r.Context]
		delete(q.barriers.groups, r.Context)
		if g == nil {
			continue
		}
		if r.Lost {
			q.barriers.waiting = append(q.barriers.waiting, g.local...)
			q.barriers.remote = append(q.barriers.remote, g.remote...)
			q.wake()
			continue
		}
		for _, req := range g.remote {
			q.call(func() { req.Reply(barrierAnswer{Index: r.Index}) })
		}
		for _, w := range g.local {
			w.index = r.Index
		}
		q.barriers.indexed = append(q.barriers.indexed, g.local...)
	}
	if len(reads) > 0 {
		q.barriersApplied(q.core.AppliedIndex())
	}
}

// barriersApplied answers the barriers whose index is applied; mu is held.
func (q *Quorum) barriersApplied(applied uint64) {
	kept := q.barriers.indexed[:0]
	for _, w := range q.barriers.indexed {
		if w.index > applied {
			kept = append(kept, w)
			continue
		}
		q.core.Confirm(w.asked)
		q.call(func() { w.done(nil) })
	}
	clear(q.barriers.indexed[len(kept):])
	q.barriers.indexed = kept
}

// expire answers proposals and barriers whose time is up; mu is held. It looks
// through the tables once per tick only, because they can be long.
func (q *Quorum) expire(now raft.Instant) {
	if now < q.expireAt {
		return
	}
	q.expireAt = now + raft.Instant(tickInterval)
	q.proposals.expire(now, false, q.call)
	q.barriers.waiting = q.expireList(q.barriers.waiting, now)
	q.barriers.indexed = q.expireList(q.barriers.indexed, now)
	for _, g := range q.barriers.groups {
		g.local = q.expireList(g.local, now)
	}
}

func (q *Quorum) expireList(list []*barrier, now raft.Instant) []*barrier {
	kept := list[:0]
	for _, w := range list {
		if now < w.deadline {
			kept = append(kept, w)
			continue
		}
		q.call(func() { w.done(verdict.Wrap(verdict.NotRun, errBarrier)) })
	}
	return kept
}

// failAll answers everything that is open because the instance stops; mu is held.
func (q *Quorum) failAll() {
	const end = raft.Instant(1<<63 - 1)
	q.proposals.expire(end, true, q.call)
	q.expire(end)
	for id, g := range q.barriers.groups {
		q.barriers.remote = append(q.barriers.remote, g.remote...)
		delete(q.barriers.groups, id)
	}
	q.refuseRemote()
}

// onBarrier handles a follower's request for a read index.
func (q *Quorum) onBarrier(_ *rpc.Conn, r *rpc.Request) {
	q.submit(func(raft.Instant) { q.barriers.remote = append(q.barriers.remote, r) })
}
