package dataplane

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/resource"
)

// pauseNode makes a node silent for d: it answers nobody, and afterwards it gets all that was sent to it meanwhile. If
// replaced is set, the other nodes hold its endpoint as lost during the second half of the pause.
func (f *fleet) pauseNode(n *node, d time.Duration, replaced bool) {
	resume := n.relay.pause()
	time.Sleep(d / 2)
	if replaced {
		f.setEndpointState(n, resource.StateGone)
	}
	time.Sleep(d / 2)
	resume()
	if replaced {
		time.Sleep(20 * time.Millisecond) // the resumed node acts before the others know of it
		f.setEndpointState(n, resource.StateReady)
	}
}

// Guards against a node that was paused for longer than the calls that wait for it may take, and then runs one that was
// run elsewhere meanwhile, or whose caller was told that it has not run.
func TestAtMostOnceUnderPauses(t *testing.T) {
	var pauses sync.WaitGroup
	defer pauses.Wait()
	randomCalls{
		seed: 21, runs: 12, gapMillis: 8, settle: 500 * time.Millisecond,
		newCall: func(r *rand.Rand, id string) randomCall {
			c := newRandomCall(r, id)
			c.otherNodes = true
			if c.key != "" {
				c.repeats += 2 // so that some follow the pause
			}
			return c
		},
		disturb: func(f *fleet, r *rand.Rand, i, n int) {
			if i != n/4 {
				return
			}
			// One node at a time: claims survive the loss of one of their two holders.
			pauses.Wait()
			paused, d, replaced := f.nodes[r.IntN(len(f.nodes))], time.Duration(100+r.IntN(700))*time.Millisecond, r.IntN(2) == 0
			pauses.Go(func() { f.pauseNode(paused, d, replaced) })
		},
	}.check(t)
}

// Guards against a call that is run again elsewhere, or given up, because the node at which it runs is silent for a
// while, and is held as lost by the others for a part of that time.
func TestSilentNodeKeepsItsRunningCalls(t *testing.T) {
	executions := &executionCounter{counts: map[string]int{}}
	started := make(chan struct{}, 8)
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		time.Sleep(400 * time.Millisecond)
		executions.ServeHTTP(w, r)
	})
	f := newFleet(t, 8)
	silent := f.addNode("n0", "z1", slow)
	caller := f.addNode("caller", "z1", nil)
	const calls = 8
	answers := make(chan answer, calls)
	for i := range calls {
		header := []string{}
		if i%2 == 1 {
			header = []string{"idempotency-key", fmt.Sprintf("k%d", i)}
		}
		go func() {
			answers <- caller.call("POST", "north", fmt.Sprintf("/s%d", i), fmt.Sprintf("s%d-body", i), header...)
		}()
	}
	for range calls {
		<-started
	}
	f.addNode("n1", "z2", slow) // could run the calls instead
	f.pauseNode(silent, 700*time.Millisecond, true)
	for range calls {
		if got := <-answers; got.err != nil || got.status != http.StatusOK {
			t.Errorf("a call that ran to its end: %+v", got)
		}
	}
	for i := range calls {
		if n := executions.count(fmt.Sprintf("s%d", i)); n != 1 {
			t.Errorf("call %d ran %d times", i, n)
		}
	}
}
