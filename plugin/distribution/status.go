package distribution

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// maxListedNodes bounds each list of node names in a status: nodes behind and nodes unseen. Further
// nodes are counted but not listed.
const maxListedNodes = 20

// Status implements api.Fleet.
func (d *Distribution) Status(timeout time.Duration, done func([]api.InstanceStatus)) {
	members := d.peer.Instances()
	g := &statusCollector{statuses: make([]api.InstanceStatus, len(members)), pendingInstances: len(members)}
	g.done = func(list []api.InstanceStatus) {
		d.addUnseenNodes(list)
		if d.c.TryGo("distribution/status", func() { done(list) }) != nil {
			d.c.RunAfter(0, "distribution/status", func() { done(list) })
		}
	}
	if len(members) == 0 {
		g.done([]api.InstanceStatus{d.localStatus()})
		return
	}
	for i, m := range members {
		unreachable := api.InstanceStatus{Instance: m.Name, AvailabilityZone: m.AvailabilityZone}
		if m.Name == d.c.Instance.Name {
			g.set(i, d.localStatus())
			continue
		}
		conn := d.discovery.Conn(m.Name)
		if conn == nil {
			g.set(i, unreachable)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		conn.CallAsync(ctx, peerapi.DistributionStatus, &peerapi.Empty{}, func(raw []byte, err error) {
			cancel()
			var st peerapi.Status
			if err != nil || json.Unmarshal(raw, &st) != nil {
				g.set(i, unreachable)
				return
			}
			g.set(i, st.Status)
		})
	}
}

// statusCollector collects the statuses of all instances and calls done with them once the last one
// has arrived.
type statusCollector struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu       sync.Mutex
	statuses []api.InstanceStatus
	// pendingInstances is the number of instances whose status is missing.
	pendingInstances int
	done             func([]api.InstanceStatus)
}

func (g *statusCollector) set(i int, s api.InstanceStatus) {
	g.mu.Lock()
	g.statuses[i] = s
	g.pendingInstances--
	last := g.pendingInstances == 0
	g.mu.Unlock()
	if last {
		g.done(g.statuses)
	}
}

// addUnseenNodes adds to the status of each unreachable instance the nodes that it served last,
// as far as this instance knows them.
func (d *Distribution) addUnseenNodes(list []api.InstanceStatus) {
	for i := range list {
		if !list[i].Reachable {
			setUnseen(&list[i], d.discovery.NodesServedBy(list[i].Instance))
		}
	}
}

func (d *Distribution) onStatus(_ *rpc.Conn, r *rpc.Request) {
	r.Reply(&peerapi.Status{Status: d.localStatus()})
}

// setUnseen sets the unseen nodes of a status: nodes that the instance served last and whose
// present state is unknown.
func setUnseen(s *api.InstanceStatus, nodes []string) {
	s.Unseen, s.UnseenNodes = len(nodes), nodes[:min(len(nodes), maxListedNodes)]
}

// localStatus returns the status of this instance.
func (d *Distribution) localStatus() api.InstanceStatus {
	q, version := d.log.Status(), d.catalog.Version()
	s := api.InstanceStatus{
		Instance: d.c.Instance.Name, AvailabilityZone: d.c.Instance.AvailabilityZone, Version: version,
		Reachable: true, AgeMillis: -1, Leader: q.Role == "leader",
	}
	if !q.Confirmed.IsZero() {
		s.AgeMillis = max(0, d.c.Clock.Now().Sub(q.Confirmed).Milliseconds())
	}
	served := d.discovery.NodesServedBy(s.Instance)
	d.mu.Lock()
	defer d.mu.Unlock()
	setUnseen(&s, slices.DeleteFunc(served, func(node string) bool { return d.byNode[node] != nil }))
	s.Nodes = len(d.byNode)
	for i, node := range sortedKeys(d.byNode) {
		e := d.byNode[node]
		if i == 0 || e.heldVersion < s.LowestVersion {
			s.LowestVersion = e.heldVersion
		}
		if e.heldVersion > version {
			s.Ahead++
		}
		if e.heldVersion < version {
			s.Behind++
			s.BehindNodes = append(s.BehindNodes, node)
		}
	}
	s.BehindNodes = s.BehindNodes[:min(len(s.BehindNodes), maxListedNodes)]
	return s
}
