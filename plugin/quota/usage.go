package quota

import (
	"context"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// InstanceUse is the use of the limits of calling teams at one control instance.
type InstanceUse struct {
	Instance string
	// Reachable is false if the instance did not answer; Teams is then empty.
	Reachable bool
	// Teams is sorted by name. It lacks teams without a limit.
	Teams []peerapi.TeamUse
}

// usage returns the use of all teams with a limit, sorted by name.
func (l *lender) usage(now time.Duration) []peerapi.TeamUse {
	var out []peerapi.TeamUse
	for _, name := range l.sortedNames() {
		b := l.buckets[name]
		b.refill(now, l.o.silentAfter)
		if b.limit.Rate > 0 {
			out = append(out, peerapi.TeamUse{Team: name, Rate: b.held.rate, Capacity: b.held.capacity, Demand: b.demand(now), Admitted: b.admitted})
		}
	}
	return out
}

// localUsage returns the use at this instance.
func (q *Quota) localUsage() []peerapi.TeamUse {
	now := q.elapsed()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reporter.usage(now)
}

func (q *Quota) onUsage(_ *rpc.Conn, r *rpc.Request) {
	r.Reply(&peerapi.QuotaUsageReply{Teams: q.localUsage()})
}

// Usage calls done once, in a job and after at most timeout, with the use at each known control instance. An instance
// of an older version counts as not reachable.
func (q *Quota) Usage(timeout time.Duration, done func([]InstanceUse)) {
	g := &usageCollector{done: func(list []InstanceUse) {
		if q.c.TryGo("quota/usage", func() { done(list) }) != nil {
			q.c.RunAfter(0, "quota/usage", func() { done(list) })
		}
	}}
	own := InstanceUse{Instance: q.c.Instance.Name, Reachable: true, Teams: q.localUsage()}
	members := q.peer.Instances()
	g.list, g.pending = []InstanceUse{own}, 1
	for _, m := range members {
		if m.Name != own.Instance {
			g.list = append(g.list, InstanceUse{Instance: m.Name})
			g.pending++
		}
	}
	for i, u := range g.list[1:] {
		conn := q.discovery.Conn(u.Instance)
		if conn == nil {
			g.end(i+1, nil)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		conn.CallAsync(ctx, peerapi.QuotaUsage, &peerapi.Empty{}, func(raw []byte, err error) {
			cancel()
			reply := &peerapi.QuotaUsageReply{}
			if err != nil || json.Unmarshal(raw, reply) != nil {
				reply = nil
			}
			g.end(i+1, reply)
		})
	}
	g.end(0, &peerapi.QuotaUsageReply{Teams: own.Teams})
}

// usageCollector collects the use at all instances and calls done once the last one is known.
type usageCollector struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu      sync.Mutex
	list    []InstanceUse
	pending int
	done    func([]InstanceUse)
}

// end sets the use at the instance at position i; reply is nil if it did not answer.
func (g *usageCollector) end(i int, reply *peerapi.QuotaUsageReply) {
	g.mu.Lock()
	if reply != nil {
		g.list[i].Reachable, g.list[i].Teams = true, reply.Teams
	}
	g.pending--
	last := g.pending == 0
	g.mu.Unlock()
	if last {
		g.done(g.list)
	}
}
