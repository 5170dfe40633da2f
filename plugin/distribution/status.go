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

// maxNames bounds the names of nodes behind, or unseen, in a status.
const maxNames = 20

// Status implements api.Fleet.
func (d *Distribution) Status(timeout time.Duration, done func([]api.InstanceStatus)) {
	members := d.peer.Instances()
	g := &gathering{out: make([]api.InstanceStatus, len(members)), left: len(members)}
	g.done = func(list []api.InstanceStatus) {
		d.fillSilent(list)
		if d.c.Next("distribution/status", func() { done(list) }) != nil {
			d.c.After(0, "distribution/status", func() { done(list) })
		}
	}
	if len(members) == 0 {
		g.done([]api.InstanceStatus{d.own()})
		return
	}
	for i, m := range members {
		none := api.InstanceStatus{Instance: m.Name, AvailabilityZone: m.AvailabilityZone}
		if m.Name == d.c.Instance.Name {
			g.set(i, d.own())
			continue
		}
		conn := d.discovery.Conn(m.Name)
		if conn == nil {
			g.set(i, none)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		conn.Go(ctx, peerapi.DistributionStatus, &peerapi.Empty{}, func(raw []byte, err error) {
			cancel()
			var st peerapi.Status
			if err != nil || json.Unmarshal(raw, &st) != nil {
				g.set(i, none)
				return
			}
			g.set(i, st.Status)
		})
	}
}

// gathering collects the answers of all instances and calls done with the last.
type gathering struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu   sync.Mutex
	out  []api.InstanceStatus
	left int
	done func([]api.InstanceStatus)
}

func (g *gathering) set(i int, s api.InstanceStatus) {
	g.mu.Lock()
	g.out[i] = s
	g.left--
	last := g.left == 0
	g.mu.Unlock()
	if last {
		g.done(g.out)
	}
}

// fillSilent adds what this instance knows of the nodes of silent instances.
func (d *Distribution) fillSilent(list []api.InstanceStatus) {
	for i := range list {
		if !list[i].Reachable {
			setUnseen(&list[i], d.discovery.ServedBy(list[i].Instance))
		}
	}
}

func (d *Distribution) onStatus(_ *rpc.Conn, r *rpc.Request) {
	r.Reply(&peerapi.Status{Status: d.own()})
}

func setUnseen(s *api.InstanceStatus, nodes []string) {
	s.Unseen, s.UnseenNodes = len(nodes), nodes[:min(len(nodes), maxNames)]
}

// own returns the status of this instance.
func (d *Distribution) own() api.InstanceStatus {
	q, version := d.log.Status(), d.catalog.Version()
	s := api.InstanceStatus{
		Instance: d.c.Instance.Name, AvailabilityZone: d.c.Instance.AvailabilityZone, Version: version,
		Reachable: true, AgeMillis: -1, Leader: q.Role == "leader",
	}
	if !q.Confirmed.IsZero() {
		s.AgeMillis = max(0, d.c.Clock.Now().Sub(q.Confirmed).Milliseconds())
	}
	served := d.discovery.ServedBy(s.Instance)
	d.mu.Lock()
	defer d.mu.Unlock()
	setUnseen(&s, slices.DeleteFunc(served, func(node string) bool { return d.byNode[node] != nil }))
	s.Nodes = len(d.byNode)
	for i, node := range sortedKeys(d.byNode) {
		e := d.byNode[node]
		if i == 0 || e.held < s.LowestVersion {
			s.LowestVersion = e.held
		}
		if e.held > version {
			s.Ahead++
		}
		if e.held < version {
			s.Behind++
			s.BehindNodes = append(s.BehindNodes, node)
		}
	}
	s.BehindNodes = s.BehindNodes[:min(len(s.BehindNodes), maxNames)]
	return s
}
