package quota

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// report sends a report to the leader, unless one is in flight.
func (q *Quota) report() {
	status := q.log.Status()
	var conn *rpc.Conn
	isLeader := status.Leader != "" && status.Leader == q.c.Instance.Name
	if status.Leader != "" && !isLeader {
		conn = q.discovery.Conn(status.Leader)
	}
	if isLeader {
		q.prepareLedger(&status)
	}
	now := q.elapsed()
	q.mu.Lock()
	if q.isReporting {
		q.mu.Unlock()
		return // its end starts the next one
	}
	q.reporter.observeTerm(status.Term)
	q.mustReport, q.reportedAt = false, now
	if isLeader {
		q.reportToSelf(&status, now)
	}
	if isLeader || conn == nil {
		q.mu.Unlock()
		return
	}
	q.isReporting = true
	m := q.reporter.next(now)
	q.mu.Unlock()
	q.reports.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), q.s.ReportTimeout.AsDuration())
	conn.CallAsync(ctx, peerapi.QuotaReport, m, func(raw []byte, err error) {
		cancel()
		q.c.Go("quota/report", func() { q.receive(m.Seq, status.Leader, raw, err) })
	})
}

// receive applies the leader's answer to a report.
func (q *Quota) receive(seq uint64, leader string, raw []byte, err error) {
	var reply *peerapi.QuotaReportReply
	if err == nil {
		reply = &peerapi.QuotaReportReply{}
		err = json.Unmarshal(raw, reply)
	}
	if err != nil {
		reply = nil
		q.c.Log.Log(evUnsent).Str("process", leader).Err(err).Send()
	}
	now := q.elapsed()
	q.mu.Lock()
	q.isReporting = false
	if q.reporter.apply(seq, reply, now) {
		q.answeredAt = now
		q.settle()
	}
	again := reply != nil && reply.NeedFull || q.reporter.mustRepeat(now)
	q.mu.Unlock()
	if again {
		q.report()
	}
}

// settle takes note that the leader knows of all leases, and writes the record that the next start finds. mu is held.
func (q *Quota) settle() {
	if !q.reporter.settle() {
		return
	}
	if q.c.Instance.DataFolder != "" {
		q.startWriting()
	}
}

// reportToSelf decides on the own report of a leader. mu is held.
func (q *Quota) reportToSelf(status *api.QuorumStatus, now time.Duration) {
	for range 3 { // one is full if the first one had to be, and one follows if it ends the wait for nodes
		m := q.reporter.next(now)
		reply := q.decide(status, q.c.Instance.Name, m, now)
		if q.reporter.apply(m.Seq, reply, now) {
			q.answeredAt = now
			q.settle()
		}
		if reply == nil || !reply.NeedFull && !q.reporter.mustRepeat(now) {
			return
		}
	}
}

// barrierTimeout bounds the wait of a new leader until it has applied all entries of earlier terms.
const barrierTimeout = time.Second

// prepareLedger starts the ledger of a new leader once it has applied all entries of earlier terms: until then its group and
// its limits may be outdated, and a member that it does not know of might hold a share.
func (q *Quota) prepareLedger(status *api.QuorumStatus) {
	q.mu.Lock()
	start := !q.isPreparing && (q.ledger == nil || q.ledger.term != status.Term)
	q.isPreparing = q.isPreparing || start
	q.mu.Unlock()
	if !start {
		return
	}
	q.log.Barrier(barrierTimeout, func(err error) {
		after := q.log.Status()
		q.readLimits()
		now := q.elapsed()
		q.mu.Lock()
		q.isPreparing = false
		ready := err == nil && after.Term == status.Term && after.Leader == q.c.Instance.Name
		if ready {
			q.ledger = NewLedger(status.Term)
			q.ledger.SetLimits(q.division.common, now)
		}
		q.mu.Unlock()
		if ready {
			_ = q.c.TryGo("quota/report", q.report) // else the next tick reports
		}
	})
}

// decide returns the leader's reply to a report; nil if it is to be ignored, or if the ledger is not ready. mu is held.
func (q *Quota) decide(status *api.QuorumStatus, from string, m *peerapi.QuotaReportRequest, now time.Duration) *peerapi.QuotaReportReply {
	if q.ledger == nil || q.ledger.term != status.Term {
		return nil
	}
	wasComplete := q.ledger.isComplete
	q.ledger.SetMembers(slices.Concat(status.Voters, status.Learners))
	reply := q.ledger.Report(from, m, now)
	if q.ledger.isComplete && !wasComplete {
		q.c.Log.Log(evComplete).Uint("term", status.Term).Int("instances", len(q.ledger.members)).Send()
	}
	return reply
}

// onReport answers the report of another instance if this one leads.
func (q *Quota) onReport(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.QuotaReportRequest{}
	if err := r.Decode(m); err != nil {
		q.refuse(c, r, err)
		return
	}
	status := q.log.Status()
	if status.Leader != q.c.Instance.Name {
		r.ReplyError(rpc.CodeNotLeader, errors.New("this instance does not lead"))
		return
	}
	q.prepareLedger(&status)
	now := q.elapsed()
	q.mu.Lock()
	reply := q.decide(&status, c.Peer, m, now)
	q.mu.Unlock()
	if reply == nil {
		r.ReplyError(rpc.CodeFailed, errors.New("leader is not ready, or the report is outdated or of a process outside the group"))
		return
	}
	r.Reply(reply)
}
