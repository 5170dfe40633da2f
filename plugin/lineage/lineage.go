package lineage

import (
	"slices"
	"strings"
	"time"
)

// calledClusterRetention is how long a cluster counts as called by the upstream after the last call.
const calledClusterRetention = 30 * time.Second

// maxCalledClusters bounds the clusters that are remembered. An upstream seldom calls more.
const maxCalledClusters = 64

// Execution is a request that the upstream runs.
type Execution struct {
	id       string
	isRepeat bool
	parent   Parent
	// called lists the clusters that the request has made nested calls to.
	called []string
}

// call records that the request makes a nested call to a cluster, and reports whether it is the first one there.
func (e *Execution) call(cluster string) (first bool) {
	if slices.Contains(e.called, cluster) {
		return false
	}
	if len(e.called) < maxCalledClusters {
		e.called = append(e.called, cluster)
	}
	return true
}

// Parent is what the calls that the upstream makes for a request inherit from it.
type Parent struct {
	// Service is the service of the upstream.
	Service string
	// Class is the class of the request. Requests of one class make similar calls. It is empty if no statistics are
	// kept.
	Class string
	// Priority and TeamPriority are those of the request.
	Priority, TeamPriority int
	// Deadline is the time after which nobody waits for the result of the request.
	Deadline time.Time
}

// executions holds the requests that the upstream runs, and the clusters that it calls. The zero value is
// ready to use.
type executions struct {
	// running maps the IDs of requests to their latest execution.
	running map[string]*Execution
	// calledAt maps each cluster that the upstream has called to the time of the last call.
	calledAt map[string]time.Time
}

// begin adds a running request.
func (x *executions) begin(e *Execution) {
	if x.running == nil {
		x.running = map[string]*Execution{}
	}
	x.running[e.id] = e
}

// end removes a request that begin added, unless a later execution has taken its place.
func (x *executions) end(e *Execution) {
	if x.running[e.id] == e {
		delete(x.running, e.id)
	}
}

// parent returns the running request for which the upstream makes a call; nil if it is unknown. Upstreams
// either pass the ID of the request on, or add a dot and a part of their own to it.
func (x *executions) parent(callID string) *Execution {
	if e := x.running[callID]; e != nil {
		return e
	}
	if i := strings.LastIndexByte(callID, '.'); i > 0 {
		return x.running[callID[:i]]
	}
	return nil
}

// nestedParent returns the parent of a call to a service. It returns nil if the call belongs to no running
// request, or if it is probably a second copy of one: a client may repeat a request under its ID while the first
// copy runs, and an upstream that passes the ID on calls another service.
func (x *executions) nestedParent(callID, service string) *Execution {
	e := x.parent(callID)
	if e == nil || e.id == callID && e.parent.Service == service {
		return nil
	}
	return e
}

// recordCall records that the upstream has called a cluster.
func (x *executions) recordCall(cluster string, now time.Time) {
	if x.calledAt == nil || len(x.calledAt) >= maxCalledClusters {
		x.calledAt = map[string]time.Time{}
	}
	x.calledAt[cluster] = now
}

// called returns the clusters that the upstream has called lately, and forgets the others.
func (x *executions) called(now time.Time) []string {
	var out []string
	for cluster, at := range x.calledAt {
		if now.Sub(at) > calledClusterRetention {
			delete(x.calledAt, cluster)
			continue
		}
		out = append(out, cluster)
	}
	return out
}
