package dataplane

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
)

// Guards against more repeats at a cluster than its retry budget permits when the answers of two clusters, of
// which one calls the other, are lost at the same time: a repeat that runs makes its calls again.
func TestCallsOfRepeatsDrawOnTheRetryBudget(t *testing.T) {
	const calls, innerCalls, lostPercent = 400, 2, 40
	f := newFleet(t, 9)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(29, 2))
	outerRuns, innerArrivals := 0, 0
	var a *node
	a = f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		lost := rng.IntN(100) < lostPercent
		if r.Host == "south" {
			innerArrivals++
		} else {
			outerRuns++
		}
		mu.Unlock()
		if r.Host == "north" {
			for i := range innerCalls { // a repeat makes the same calls again
				a.call("GET", "south", "/", "", "X-Request-Id", fmt.Sprintf("%s.%d", id, i))
			}
		}
		if lost {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "ok")
	}))
	caller := f.addNode("caller", "z1", nil)
	answered := 0
	for i := range calls {
		if got := caller.call("GET", "north", "/", "", "X-Request-Id", fmt.Sprintf("outer%d", i)); got.status == http.StatusOK {
			answered++
		}
	}
	repeats := innerArrivals - calls*innerCalls
	// 20 in 100, and 10 in each window of 10 s, which is longer than this test takes. The budget is asked before
	// the repeat makes its calls.
	if allowed := calls*innerCalls/5 + 10 + innerCalls; repeats > allowed {
		t.Errorf("%d inner calls arrived beyond the first of each, %d are allowed; %d outer runs", repeats, allowed, outerRuns)
	}
	if outerRuns == calls || answered < calls*(100-lostPercent)/100 {
		t.Errorf("%d of %d outer calls were answered in %d runs: nothing was repeated", answered, calls, outerRuns)
	}
}
