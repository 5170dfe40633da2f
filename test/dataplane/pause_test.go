package dataplane

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

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
	executions := &executionCounter{counts: map[string]int{}}
	f := newFleet(t, 3)
	for i, zone := range []string{"z1", "z1", "z2", "z2"} {
		f.addNode(fmt.Sprintf("n%d", i), zone, executions)
	}
	f.cluster.RetryBudgetPercent = 100
	f.publish()
	params := gopter.DefaultTestParametersWithSeed(21)
	params.MinSuccessfulTests = 12
	var lastID atomic.Int64
	outcomes := map[string]int{}
	props := gopter.NewProperties(params)
	props.Property("each call runs at most once and gets a correct verdict", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 2))
		var wg sync.WaitGroup
		calls := make([]randomCall, 48)
		answers := make([][]answer, len(calls))
		for i := range calls {
			calls[i] = newRandomCall(r, fmt.Sprintf("p%d", lastID.Add(1)))
			calls[i].otherNodes = true
			if calls[i].key != "" {
				calls[i].repeats += 2 // so that some follow the pause
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i] = calls[i].perform(f)
			}()
			time.Sleep(time.Duration(r.IntN(8)) * time.Millisecond)
			if i == len(calls)/4 {
				// One node at a time: claims survive the loss of one of their two holders.
				n, d, replaced := f.nodes[r.IntN(len(f.nodes))], time.Duration(100+r.IntN(700))*time.Millisecond, r.IntN(2) == 0
				wg.Add(1)
				go func() {
					defer wg.Done()
					f.pauseNode(n, d, replaced)
				}()
			}
		}
		wg.Wait()
		time.Sleep(500 * time.Millisecond) // wait for executions that end after their calls
		return findFirstViolation(executions, calls, answers, outcomes)
	}, gen.UInt64()))
	props.TestingRun(t)
	t.Logf("answers by status, verdict and claim: %v", outcomes)
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
