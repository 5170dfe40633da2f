package outbound

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// newRefusedCall returns a call to a service with one endpoint, and a function that updates the
// endpoint's record. A new incarnation, as after a restart, replaces the record; with the same
// incarnation, only the record's state changes.
func newRefusedCall() (c *call, update func(incarnation uint64, state resource.EndpointState)) {
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": newEndpointSet(1, nil)}}
	tb := newTable("z1", "n", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(4, 4)))
	c = &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.5}}, route: &resource.Route{TargetMillis: 600, TimeoutMillis: 2000},
		cluster: &resource.Cluster{Service: "svc"}, startedAt: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	return c, func(incarnation uint64, state resource.EndpointState) {
		set := newEndpointSet(1, func(_ int, e *resource.Endpoint) { e.Incarnation, e.State = incarnation, state })
		tb.applySnapshot(&resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": set}}, time.Now())
	}
}

// Guards against a call being offered again to the node whose upstream rejected it, because
// the endpoint's record was replaced between the offers.
func TestReplacedRecordIsNotAskedAgain(t *testing.T) {
	c, update := newRefusedCall()
	first, _ := c.chooseEndpoint(nil)
	if first == nil {
		t.Fatal("no endpoint for the first offer")
	}
	c.recordRejection(first, &httpcall.Failure{Reason: httpcall.ReasonWaitTooLong})
	update(2, resource.StateReady)
	c.recordRejection(first, &httpcall.Failure{Reason: httpcall.ReasonUpstreamRejected})
	if e, _ := c.chooseEndpoint([]*endpoint{first}); e != nil {
		t.Errorf("the call is offered to %s again", e.Node)
	}
}

// Guards against a data race between reading an endpoint's record and an update of the table.
// It needs the race detector.
func TestRefusalsMeetChangesOfTheTable(t *testing.T) {
	c, update := newRefusedCall()
	e, _ := c.chooseEndpoint(nil)
	if e == nil {
		t.Fatal("no endpoint")
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := range 200 {
			update(1, []resource.EndpointState{resource.StateReady, resource.StateDraining}[i%2])
		}
	}()
	for range 200 {
		c.busy = append(c.busy[:0], e)
		c.recordRejection(e, &httpcall.Failure{Reason: httpcall.ReasonUpstreamRejected})
	}
	wg.Wait()
}
