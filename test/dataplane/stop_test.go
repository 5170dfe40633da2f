package dataplane

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// Guards against calls that a stopping node takes on open connections late in its grace, passes on and
// cuts when its process exits. A call at the upstream beside the node keeps the process running, and
// the calls run for longer than calls of their route usually do.
func TestLateCallsOfAPlannedStopAreAnsweredOrRefused(t *testing.T) {
	const longCall = 1400 * time.Millisecond
	running := make(chan struct{})
	var passedOn sync.Map // paths of the calls that ran
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			return
		}
		passedOn.Store(r.URL.Path, true)
		if r.URL.Path == "/busy" {
			close(running)
		}
		time.Sleep(longCall)
	})
	f := newFleet(t, 8)
	f.drainTime, f.stopTimeout = 200*time.Millisecond, 2*time.Second
	f.route.TimeoutMillis = 1500
	stopping := f.addNode("stopping", "z1", handler)
	f.addNode("other", "z2", handler)
	caller := f.addNode("caller", "z1", nil)
	for range 20 { // the nodes learn the usual duration, and the connections stay open
		if a := stopping.call("POST", "north", "/short", "b"); a.status != 200 {
			t.Fatalf("ordinary call: %+v", a)
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { caller.call("POST", "north", "/busy", "b") })
	<-running
	start := time.Now()
	var stopped time.Time
	wg.Go(func() { stopping.stop(); stopped = time.Now() })
	type late struct {
		answer answer
		end    time.Time
	}
	var calls [6]late
	for i := range calls {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(400*time.Millisecond + time.Duration(i)*100*time.Millisecond)))
			a := stopping.call("POST", "north", fmt.Sprintf("/late/%d", i), "b")
			calls[i] = late{a, time.Now()}
		})
	}
	wg.Wait()
	for i, c := range calls {
		_, ran := passedOn.Load(fmt.Sprintf("/late/%d", i))
		answered := c.answer.status == http.StatusOK && c.end.Before(stopped)
		refused := c.answer.err != nil || c.answer.status == http.StatusServiceUnavailable && c.answer.verdict == "not-run"
		if !answered && (ran || !refused) {
			t.Errorf("late call %d, which ran: %t, got %+v, %v after the process would have exited", i, ran, c.answer, c.end.Sub(stopped))
		}
	}
}

// Guards against calls of other nodes that a draining node takes although they may outlast its planned
// stop. They are offered to another endpoint instead.
func TestDrainingNodeRejectsCallsThatMayOutlastItsStop(t *testing.T) {
	ran := make(chan string, 10)
	handler := func(name string) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran <- name })
	}
	f := newFleet(t, 8)
	f.stopTimeout = 2 * time.Second
	f.route.TimeoutMillis = 3000
	stopping := f.addNode("stopping", "z1", handler("stopping"))
	f.addNode("other", "z2", handler("other"))
	caller := f.addNode("caller", "z1", nil)
	stopping.announce.mu.Lock()
	stopping.announce.onDrain, stopping.announce.drainDelay = nil, time.Second // the caller has not heard of the drain
	stopping.announce.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(stopping.stop)
	kerneltest.WaitUntil(t, 5*time.Second, "drain", stopping.announce.IsDraining)
	a := caller.call("POST", "north", "/", "b")
	if a.status != http.StatusOK {
		t.Errorf("call: %+v", a)
	}
	if name := <-ran; name != "other" {
		t.Errorf("the call ran beside the node %q", name)
	}
	wg.Wait()
}

// Guards against a call with a key that waits for a slot when its node is stopped: its caller gets no answer, or the key
// stays taken although the call has not run.
func TestWaitingKeyedCallIsReturnedInAPlannedStop(t *testing.T) {
	release, running := make(chan struct{}), make(chan struct{})
	var runs sync.Map
	f := newFleet(t, 1)
	f.drainTime, f.stopTimeout = 200*time.Millisecond, 2*time.Second
	f.route.TimeoutMillis = 10_000
	f.addNode("far", "z1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Store(r.URL.Path, true)
		if r.URL.Path == "/hold" {
			close(running)
			<-release
		}
	}))
	stopping, other := f.addNode("stopping", "z1", nil), f.addNode("other", "z1", nil)
	var wg sync.WaitGroup
	wg.Go(func() { other.call("POST", "north", "/hold", "b") })
	<-running
	send := func(n *node) answer { return n.call("POST", "north", "/keyed", "b", "Idempotency-Key", "k") }
	var first answer
	wg.Go(func() { first = send(stopping) })
	time.Sleep(100 * time.Millisecond)
	stopping.stop()
	close(release)
	wg.Wait()
	if _, ran := runs.Load("/keyed"); ran || first.status != http.StatusServiceUnavailable || first.verdict != "not-run" {
		t.Errorf("the waiting call, which ran: %t, got %+v", ran, first)
	}
	if a := send(other); a.status != http.StatusOK || a.claim != "" {
		t.Errorf("the repeat got %+v", a)
	}
}
