package lineage

import (
	"math"
	"time"
)

const (
	// parentTimeConstant is the time constant of the mean numbers of nested calls of a class of requests.
	parentTimeConstant = 10 * time.Second
	// demandTimeConstant is the time constant of the demand and of the answered calls of a cluster.
	demandTimeConstant = 500 * time.Millisecond
	// refusalTimeConstant is that of the refused share without further failures. A share of 0.9 falls below
	// minRefusal within one second after the last failure.
	refusalTimeConstant = 450 * time.Millisecond
	// assumedAnswers is the number of answered calls that each cluster is taken to have in addition. It keeps a single
	// failure after a quiet time from refusing most requests.
	assumedAnswers = 3
	// A refused share below minRefusal counts as 0: a few failures are no lack of capacity.
	minRefusal = 0.1
	// maxRefusal bounds the refused share. The requests that are still admitted show when the cluster recovers.
	maxRefusal = 0.9
	// localRefusal is the refused share from which the cause is probably at this node, such as a partition: a lack of
	// capacity that so few calls get past hardly occurs in a whole fleet.
	localRefusal = 0.75
	// maxParentClasses bounds the classes with statistics. When a further class is added, all are cleared.
	maxParentClasses = 64
)

// decaying is a sum whose terms decay exponentially with time.
type decaying struct {
	sum float64
	at  time.Time
}

// value returns the sum at the time now.
func (d *decaying) value(now time.Time, constant time.Duration) float64 {
	return d.sum * math.Exp(-max(now.Sub(d.at), 0).Seconds()/constant.Seconds())
}

func (d *decaying) add(term float64, now time.Time, constant time.Duration) {
	d.sum, d.at = d.value(now, constant)+term, now
}

// parentClass holds what the requests of one class have called.
type parentClass struct {
	// begun is the number of requests over parentTimeConstant.
	begun    decaying
	clusters map[string]*nestedCalls
}

// nestedCalls counts the nested calls of one class to one cluster over parentTimeConstant, and the requests that made at
// least one of them.
type nestedCalls struct{ calls, requests decaying }

// perRequest divides a count by the number of requests of the class.
func (p *parentClass) perRequest(count *decaying, now time.Time) float64 {
	return count.value(now, parentTimeConstant) / max(p.begun.value(now, parentTimeConstant), 1)
}

// calledCluster holds how a cluster has answered nested calls lately.
type calledCluster struct {
	// demand is the number of nested calls that ended or that refused requests would have made. answers is the number
	// of those that were answered.
	demand, answers decaying
	// refusal is the share of the nested calls that must not be made, as of the last failure.
	refusal decaying
}

// refusedShare returns the share of the nested calls to the cluster that must not be made.
func (c *calledCluster) refusedShare(now time.Time) float64 {
	if share := c.refusal.value(now, refusalTimeConstant); share >= minRefusal {
		return min(share, maxRefusal)
	}
	return 0
}

// record records the end of a nested call. After a failure, the refused share is what the demand has beyond the answers:
// the calls of refused requests are part of the demand, so the share does not fall because it has taken effect.
func (c *calledCluster) record(answered bool, now time.Time) {
	c.demand.add(1, now, demandTimeConstant)
	if answered {
		c.answers.add(1, now, demandTimeConstant)
		return
	}
	answers, demand := c.answers.value(now, demandTimeConstant), c.demand.value(now, demandTimeConstant)
	share := 1 - (answers+assumedAnswers)/(demand+assumedAnswers)
	if share > c.refusal.value(now, refusalTimeConstant) {
		c.refusal = decaying{share, now}
	}
}

// parents decides which requests are refused because their nested calls would fail. The zero value is ready to use. It is
// not safe for concurrent use.
type parents struct {
	classes  map[string]*parentClass
	clusters map[string]*calledCluster
}

// begin counts a request of the class.
func (p *parents) begin(class string, now time.Time) {
	c := p.classes[class]
	if c == nil {
		if p.classes == nil || len(p.classes) >= maxParentClasses {
			p.classes = map[string]*parentClass{}
		}
		c = &parentClass{clusters: map[string]*nestedCalls{}}
		p.classes[class] = c
	}
	c.begun.add(1, now, parentTimeConstant)
}

// call records that a request of the class makes a nested call to a cluster. first is set for its first one there.
func (p *parents) call(class, cluster string, first bool, now time.Time) {
	c := p.classes[class]
	if c == nil {
		return
	}
	n := c.clusters[cluster]
	if n == nil {
		if len(c.clusters) >= maxCalledClusters {
			clear(c.clusters)
		}
		n = &nestedCalls{}
		c.clusters[cluster] = n
	}
	n.calls.add(1, now, parentTimeConstant)
	if first {
		n.requests.add(1, now, parentTimeConstant)
	}
}

// recordEnd records the end of a nested call to a cluster.
func (p *parents) recordEnd(cluster string, answered bool, now time.Time) {
	c := p.clusters[cluster]
	if c == nil {
		if p.clusters == nil || len(p.clusters) >= maxCalledClusters {
			p.clusters = map[string]*calledCluster{}
		}
		c = &calledCluster{}
		p.clusters[cluster] = c
	}
	c.record(answered, now)
}

// admit reports whether a request of the class is admitted, and otherwise whether the cause is probably at this node
// only. A request is refused at the rate at which one of its nested calls would fail: requests of the class that make
// none are not refused in addition. draw is a random number from 0 to 1. The calls of a refused request count as demand.
func (p *parents) admit(class string, draw float64, now time.Time) (ok, isLocal bool) {
	c := p.classes[class]
	if c == nil {
		return true, false
	}
	admitted, highest := 1.0, 0.0
	for cluster, n := range c.clusters {
		if called := p.clusters[cluster]; called != nil {
			share := called.refusedShare(now)
			admitted *= 1 - share*min(c.perRequest(&n.requests, now), 1)
			highest = max(highest, share)
		}
	}
	if draw < max(admitted, 1-maxRefusal) {
		return true, false
	}
	for cluster, n := range c.clusters {
		if called := p.clusters[cluster]; called != nil {
			called.demand.add(c.perRequest(&n.calls, now), now, demandTimeConstant)
		}
	}
	return false, highest >= localRefusal
}
