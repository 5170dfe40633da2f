package outbound

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// refusedCall returns a call of a service with one endpoint, and a function that replaces
// the record of the endpoint, as a restart of it does, or else its state.
func refusedCall() (c *call, update func(incarnation uint64, state resource.EndpointState)) {
	snapshot := &resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": endpoints(1, nil)}}
	tb := newTable("z1", "n", func() *resource.Snapshot { return snapshot }, rand.New(rand.NewPCG(4, 4)))
	c = &call{
		o: &Outbound{table: tb, s: &Settings{WaitShare: 0.5}}, route: &resource.Route{TargetMillis: 600, TimeoutMillis: 2000},
		cluster: &resource.Cluster{Service: "svc"}, begin: time.Now(), deadline: time.Now().Add(2 * time.Second),
	}
	return c, func(incarnation uint64, state resource.EndpointState) {
		set := endpoints(1, func(_ int, e *resource.Endpoint) { e.Incarnation, e.State = incarnation, state })
		tb.apply(&resource.Snapshot{Sets: map[string]*resource.EndpointSet{"svc": set}}, time.Now())
	}
}

// Guards against a call that is offered again to the node whose upstream refused it,
// because the record of the endpoint was replaced meanwhile.
func TestReplacedRecordIsNotAskedAgain(t *testing.T) {
	c, update := refusedCall()
	first, _ := c.choose(nil)
	if first == nil {
		t.Fatal("no endpoint for the first offer")
	}
	c.noRoom(first, &httpcall.Failure{Reason: httpcall.ReasonWait})
	update(2, resource.StateReady)
	c.noRoom(first, &httpcall.Failure{Reason: httpcall.ReasonUpstream})
	if e, _ := c.choose([]*endpoint{first}); e != nil {
		t.Errorf("the call is offered to %s again", e.Node)
	}
}

// Guards against records of endpoints that are read while the table changes them; the
// race detector shows it.
func TestRefusalsMeetChangesOfTheTable(t *testing.T) {
	c, update := refusedCall()
	e, _ := c.choose(nil)
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
		c.noRoom(e, &httpcall.Failure{Reason: httpcall.ReasonUpstream})
	}
	wg.Wait()
}
