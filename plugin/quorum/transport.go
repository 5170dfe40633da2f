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

// snapshotChunkBytes is the size of one chunk of a snapshot; it is far below
// rpc.MaxFrameBytes, so that chunks do not delay heartbeats on the same connection.
const snapshotChunkBytes = 1 << 20

// maxSnapshotBytes bounds the size of a received snapshot; a larger one is refused.
const maxSnapshotBytes = 1 << 30

// maxPreallocatedBytes bounds the buffer that is allocated for a snapshot before its data arrives.
const maxPreallocatedBytes = 32 << 20

// chunkTimeout bounds the wait for the response to one chunk.
const chunkTimeout = 10 * time.Second

// onStep handles messages from another member.
func (q *Quorum) onStep(c *rpc.Conn, r *rpc.Request) {
	var s stepMessage
	if err := r.Decode(&s); err != nil {
		q.c.Log.Log(evMalformedMessage).Str("process", c.Peer).Err(err).Send()
		return
	}
	q.submit(func(now raft.Instant) {
		q.learnName(s.From, c.Peer)
		if _, hasLink := q.links[c.Peer]; !hasLink {
			q.afterUnlock(func() { q.peer.LearnByName(c.Peer, "") }) // responses need a link to the sender
		}
		for i := range s.Messages {
			if m := fromWire(s.From, s.To, &s.Messages[i]); m.Type != raft.MsgSnapshot {
				q.core.Step(now, m)
			}
		}
	})
}

// outgoingSnapshot is a snapshot that is being sent to a member in chunks.
type outgoingSnapshot struct {
	q      *Quorum
	conn   *rpc.Conn
	header snapshotChunk
	data   []byte
}

// startSnapshot queues a read of the newest snapshot from disk, after which it is sent in
// chunks; mu is held.
func (q *Quorum) startSnapshot(name string, m raft.Message) {
	if q.sending[m.To] {
		return // a transfer to this member is already running
	}
	q.sending[m.To] = true
	link := q.links[name]
	q.disk.snapshotLoads = append(q.disk.snapshotLoads, func(s replog.Snapshot, err error) { q.sendSnapshot(link, m, s, err) })
	q.scheduleDisk()
}

// sendSnapshot sends the first chunk of a loaded snapshot. It runs in the disk job.
func (q *Quorum) sendSnapshot(link *peer.Link, m raft.Message, s replog.Snapshot, err error) {
	o := &outgoingSnapshot{q: q, data: s.Data, header: snapshotChunk{
		From: m.From, To: m.To, Term: m.Term, Round: m.Round, Index: s.Index, LogTerm: s.Term, Config: s.Config, Total: len(s.Data),
	}}
	if link != nil {
		o.conn = link.Conn()
	}
	if err == nil && o.conn == nil {
		err = errors.New("instance is not connected")
	}
	if err != nil {
		o.finish(err)
		return
	}
	o.send(0)
}

// send sends the chunk at an offset and, once it is acknowledged, the next one.
func (o *outgoingSnapshot) send(offset int) {
	chunk := o.header
	chunk.Offset = offset
	chunk.Data = o.data[offset:min(len(o.data), offset+snapshotChunkBytes)]
	next := offset + len(chunk.Data)
	ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
	o.conn.CallAsync(ctx, "quorum.snapshot", chunk, func(_ []byte, err error) {
		cancel()
		if err != nil || next == len(o.data) {
			o.finish(err)
			return
		}
		o.send(next)
	})
}

// finish reports the result of the transfer to the core.
func (o *outgoingSnapshot) finish(err error) {
	if err != nil {
		o.q.c.Log.Log(evSnapshotNotSent).Str("member", o.header.To.String()).Err(err).Send()
	}
	o.q.submit(func(raft.Instant) {
		delete(o.q.sending, o.header.To)
		o.q.core.ReportSnapshotSent(o.header.To, err == nil)
	})
}

// incomingSnapshot is a snapshot that is being received in chunks; Quorum.mu guards it.
type incomingSnapshot struct {
	header snapshotChunk
	data   []byte
}

// onSnapshot handles one chunk of a snapshot. A chunk that does not follow the previous one
// is refused, and the sender later starts again with the first chunk.
func (q *Quorum) onSnapshot(c *rpc.Conn, r *rpc.Request) {
	var chunk snapshotChunk
	if err := r.Decode(&chunk); err != nil {
		r.ReplyError(rpc.CodeInvalidParams, err)
		return
	}
	if chunk.Total < 0 || chunk.Total > maxSnapshotBytes || chunk.Offset < 0 || chunk.Offset+len(chunk.Data) > chunk.Total {
		r.ReplyError(rpc.CodeInvalidParams, errors.Newf("snapshot chunk at offset %d of %d bytes is out of range", chunk.Offset, chunk.Total))
		return
	}
	q.submit(func(now raft.Instant) {
		q.learnName(chunk.From, c.Peer)
		if err := q.receiveChunk(now, &chunk); err != nil {
			q.afterUnlock(func() { r.ReplyError(rpc.CodeFailed, err) })
			return
		}
		q.afterUnlock(func() { r.Reply(struct{}{}) })
	})
}

// receiveChunk adds a chunk and passes the complete snapshot to the core; mu is held.
func (q *Quorum) receiveChunk(now raft.Instant, chunk *snapshotChunk) error {
	if chunk.Offset == 0 {
		q.receiving = &incomingSnapshot{header: *chunk, data: make([]byte, 0, min(chunk.Total, maxPreallocatedBytes))}
		q.receiving.header.Data = nil
	}
	in := q.receiving
	if in == nil || in.header.From != chunk.From || in.header.Term != chunk.Term || in.header.Index != chunk.Index ||
		in.header.Total != chunk.Total || len(in.data) != chunk.Offset {
		return errors.Newf("snapshot chunk at offset %d does not follow the previous chunk", chunk.Offset)
	}
	in.data = append(in.data, chunk.Data...)
	if len(in.data) < chunk.Total {
		return nil
	}
	q.receiving = nil
	q.core.Step(now, raft.Message{
		Type: raft.MsgSnapshot, From: chunk.From, To: chunk.To, Term: chunk.Term, Round: chunk.Round,
		Snapshot: &replog.Snapshot{Index: chunk.Index, Term: chunk.LogTerm, Config: chunk.Config, Data: in.data},
	})
	return nil
}
