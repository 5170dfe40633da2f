package rollouts

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// reportInterval is the interval at which an instance passes reports of its nodes to the leader.
	reportInterval = 200 * time.Millisecond
	// reportTimeout bounds the wait for the answer of the leader. The next report is sent only after it.
	reportTimeout = 600 * time.Millisecond
)

// relayedNode is an attached node with its newest report and the permits that the leader sent for it.
type relayedNode struct {
	incarnation uint64
	reports     []peerapi.RolloutReport
	// unsent is set while the leader has not answered the newest report.
	unsent     bool
	receivedAt time.Time
	// permits are as of permitsAt, when the report that they answer was sent.
	permits   []peerapi.Permit
	permitsAt time.Time
}

// relay passes reports of attached nodes to the leader, and permits back. Guarded by Rollouts.mu.
type relay struct {
	nodes  map[string]*relayedNode
	leader string
	// inFlight is set while an answer is awaited.
	inFlight bool
}

// put stores the report of a node and returns the permits that may be passed on: those of maxAge or younger.
func (l *relay) put(node string, incarnation uint64, reports []peerapi.RolloutReport, maxAge time.Duration, now time.Time) []peerapi.Permit {
	n := l.nodes[node]
	if n == nil || n.incarnation != incarnation {
		n = &relayedNode{incarnation: incarnation}
		l.nodes[node] = n
	}
	n.reports, n.unsent, n.receivedAt = reports, true, now
	if now.Sub(n.permitsAt) > maxAge {
		return nil
	}
	return n.permits
}

// take returns the reports that the leader lacks; all of them after a change of the leader. It drops nodes that have been silent.
func (l *relay) take(leader string, now time.Time) []peerapi.NodeReport {
	var out []peerapi.NodeReport
	for name, n := range l.nodes {
		if now.Sub(n.receivedAt) > silentAfter {
			delete(l.nodes, name)
			continue
		}
		if n.unsent || l.leader != leader {
			out = append(out, peerapi.NodeReport{Node: name, Incarnation: n.incarnation, Reports: n.reports})
		}
		n.unsent = false
	}
	l.leader = leader
	return out
}

// receive stores the permits that answer a report sent at sentAt.
func (l *relay) receive(reply *peerapi.InstanceReply, sentAt time.Time) {
	for _, p := range reply.Nodes {
		if n := l.nodes[p.Node]; n != nil && n.incarnation == p.Incarnation {
			n.permits, n.permitsAt = p.Permits, sentAt
		}
	}
}

// Report takes the reports of an attached node and returns its permits.
func (r *Rollouts) Report(node string, incarnation uint64, reports []peerapi.RolloutReport) []peerapi.Permit {
	now := r.c.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay.put(node, incarnation, reports, r.s.permitMaxAge(), now)
}

// sendReport passes the reports of the attached nodes to the leader while a roll-out is in progress.
func (r *Rollouts) sendReport() {
	active := r.inProgress()
	status, now := r.log.Status(), r.c.Clock.Now()
	r.mu.Lock()
	if len(active) == 0 {
		clear(r.relay.nodes)
	}
	index, busy := r.state.ruleIndex, r.relay.inFlight
	r.mu.Unlock()
	if len(active) == 0 || busy || status.Leader == "" {
		return
	}
	m := &peerapi.InstanceReport{Instance: r.c.Instance.Name, Index: index, Pending: r.nodes.NodesWithoutRules(index)}
	isLeader := status.Role == "leader"
	conn := r.discovery.Conn(status.Leader)
	if !isLeader && conn == nil {
		return
	}
	r.mu.Lock()
	m.Nodes = r.relay.take(status.Leader, now)
	r.relay.inFlight = !isLeader
	r.mu.Unlock()
	if isLeader {
		if reply, ok := r.receiveReport(m); ok {
			r.finishReport(reply, now, false)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	conn.CallAsync(ctx, peerapi.RolloutsReport, m, func(raw []byte, err error) {
		cancel()
		reply := &peerapi.InstanceReply{}
		if err == nil {
			err = json.Unmarshal(raw, reply)
		}
		r.c.Go("rollouts/report", func() { r.finishReport(reply, now, err != nil) })
	})
}

// finishReport processes the answer to a report that was sent at sentAt. After a failure, all reports are sent again.
func (r *Rollouts) finishReport(reply *peerapi.InstanceReply, sentAt time.Time, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay.inFlight = false
	if failed {
		r.relay.leader = ""
		return
	}
	r.relay.receive(reply, sentAt)
}
