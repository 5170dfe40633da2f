package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// chunkBytes is the size of one part of a snapshot, far below rpc.MaxFrame, so
// that heartbeats on the same connection are not held up.
const chunkBytes = 1 << 20

// maxSnapshot bounds a received snapshot; a larger one is refused.
const maxSnapshot = 1 << 30

// chunkTimeout bounds the wait for the answer to one part.
const chunkTimeout = 10 * time.Second

// onStep handles messages of another member.
func (q *Quorum) onStep(c *rpc.Conn, r *rpc.Request) {
	var s stepMessage
	if err := r.Decode(&s); err != nil {
		q.c.Log.Log(evMalformed).Str("process", c.Peer).Err(err).Send()
		return
	}
	q.submit(func(now raft.Instant) {
		q.learnName(s.From, c.Peer)
		for i := range s.Messages {
			if m := fromWire(s.From, s.To, &s.Messages[i]); m.Type != raft.MsgSnapshot {
				q.core.Step(now, m)
			}
		}
	})
}

// outgoing is a snapshot on its way to a member.
type outgoing struct {
	q     *Quorum
	conn  *rpc.Conn
	head  snapshotChunk
	state []byte
}

// startSnapshot loads the newest snapshot and sends it in parts; mu is held.
func (q *Quorum) startSnapshot(name string, m raft.Message) {
	if q.sending[m.To] {
		return // the one under way reports its end
	}
	q.sending[m.To] = true
	link := q.links[name]
	q.disk.loads = append(q.disk.loads, func(s replog.Snapshot, err error) { q.sendSnapshot(link, m, s, err) })
	q.wakeDisk()
}

// sendSnapshot runs in the disk job and sends the first part.
func (q *Quorum) sendSnapshot(link *peer.Link, m raft.Message, s replog.Snapshot, err error) {
	o := &outgoing{q: q, state: s.Data, head: snapshotChunk{
		From: m.From, To: m.To, Term: m.Term, Round: m.Round, Index: s.Index, At: s.Term, Config: s.Config, Total: len(s.Data),
	}}
	if link != nil {
		o.conn = link.Conn()
	}
	if err == nil && o.conn == nil {
		err = errors.New("instance is not connected")
	}
	if err != nil {
		o.end(err)
		return
	}
	o.send(0)
}

func (o *outgoing) send(offset int) {
	part := o.head
	part.Offset = offset
	part.Data = o.state[offset:min(len(o.state), offset+chunkBytes)]
	next := offset + len(part.Data)
	ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
	o.conn.Go(ctx, "quorum.snapshot", part, func(_ []byte, err error) {
		cancel()
		if err != nil || next == len(o.state) {
			o.end(err)
			return
		}
		o.send(next)
	})
}

func (o *outgoing) end(err error) {
	if err != nil {
		o.q.c.Log.Log(evNotSent).Str("member", o.head.To.String()).Err(err).Send()
	}
	o.q.submit(func(raft.Instant) {
		delete(o.q.sending, o.head.To)
		o.q.core.SnapshotSent(o.head.To, err == nil)
	})
}

// incoming is a snapshot that arrives in parts; Quorum.mu guards it.
type incoming struct {
	head snapshotChunk
	data []byte
}

// onSnapshot handles one part. A part that does not continue the one before is
// refused, and the sender starts again later.
func (q *Quorum) onSnapshot(c *rpc.Conn, r *rpc.Request) {
	var part snapshotChunk
	if err := r.Decode(&part); err != nil {
		r.Fail(rpc.CodeMalformed, err)
		return
	}
	if part.Total < 0 || part.Total > maxSnapshot || part.Offset < 0 || part.Offset+len(part.Data) > part.Total {
		r.Fail(rpc.CodeMalformed, errors.Newf("snapshot part at %d of %d bytes is out of range", part.Offset, part.Total))
		return
	}
	q.submit(func(now raft.Instant) {
		q.learnName(part.From, c.Peer)
		if err := q.receive(now, &part); err != nil {
			q.call(func() { r.Fail(rpc.CodeFailed, err) })
			return
		}
		q.call(func() { r.Reply(struct{}{}) })
	})
}

// receive adds a part and hands the complete snapshot to the core; mu is held.
func (q *Quorum) receive(now raft.Instant, part *snapshotChunk) error {
	if part.Offset == 0 {
		q.receiving = &incoming{head: *part}
	}
	in := q.receiving
	if in == nil || in.head.From != part.From || in.head.Term != part.Term || in.head.Index != part.Index ||
		in.head.Total != part.Total || len(in.data) != part.Offset {
		return errors.Newf("snapshot part at %d does not continue the one before", part.Offset)
	}
	in.data = append(in.data, part.Data...)
	if len(in.data) < part.Total {
		return nil
	}
	q.receiving = nil
	q.core.Step(now, raft.Message{
		Type: raft.MsgSnapshot, From: part.From, To: part.To, Term: part.Term, Round: part.Round,
		Snapshot: &replog.Snapshot{Index: part.Index, Term: part.At, Config: part.Config, Data: in.data},
	})
	return nil
}
