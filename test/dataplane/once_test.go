package dataplane

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// executionCounter is a handler for upstreams that counts the executions of each call.
type executionCounter struct {
	mu sync.Mutex
	// counts holds the number of executions by the ID of the call, which is the path without "/".
	counts map[string]int
}

func (c *executionCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// ServeHTTP counts an execution and then behaves as requested by the query parameter "do".
func (c *executionCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := strings.TrimPrefix(r.URL.Path, "/")
	c.mu.Lock()
	c.counts[id]++
	n := c.counts[id]
	c.mu.Unlock()
	switch r.URL.Query().Get("do") {
	case "slow":
		select {
		case <-time.After(30 * time.Millisecond):
		case <-r.Context().Done():
		}
	case "lost":
		panic(http.ErrAbortHandler)
	case "cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "cutchunk":
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "503":
		w.Header().Set("Celeryyard-Verdict", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "hang":
		select {
		case <-time.After(400 * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	_, _ = fmt.Fprintf(w, "%s %s %d", id, body, n)
}

// behaviours lists the behaviours of executionCounter to choose from; repeated ones are more likely.
var behaviours = []string{"ok", "ok", "ok", "slow", "slow", "lost", "cut", "cutchunk", "503", "hang"}

// randomCall is a randomly generated call with its repeats.
type randomCall struct {
	method, id, key, behaviour string
	nodeIndex                  int
	timeoutMillis              string
	// cancelAfter is the time after which the caller cancels each attempt; 0 means never.
	cancelAfter time.Duration
	// repeats is the number of times that the call is sent again.
	repeats int
	// otherNodes means that each repeat is sent to another node.
	otherNodes bool
}

func newRandomCall(r *rand.Rand, id string) randomCall {
	c := randomCall{id: id, behaviour: behaviours[r.IntN(len(behaviours))], nodeIndex: r.IntN(4), timeoutMillis: "250"}
	c.method = []string{"POST", "POST", "GET", "DELETE"}[r.IntN(4)]
	if c.method == "POST" && r.IntN(2) == 0 {
		c.key, c.repeats = "k-"+id, r.IntN(4)
	}
	switch r.IntN(8) {
	case 0:
		c.timeoutMillis = []string{"0", "1", "5", "20"}[r.IntN(4)]
	case 1:
		c.cancelAfter = time.Duration(r.IntN(20)) * time.Millisecond
	}
	return c
}

// findViolation compares the answers to a call and its repeats with the counted executions. It
// returns a description of the first violation of the guarantees, or "" if there is none. It must be
// called only when no execution of the call is in progress.
func (c randomCall) findViolation(executions *executionCounter, answers []answer) string {
	runs := executions.count(c.id)
	if c.method != "GET" && runs > 1 {
		return fmt.Sprintf("%+v ran %d times: %+v", c, runs, answers)
	}
	notRunCount := 0
	for i, a := range answers {
		if a.err == nil && a.verdict == "" && (a.status != 200 && a.status != 503 || !strings.HasPrefix(a.body, c.id+" "+c.id+"-body ")) {
			return fmt.Sprintf("%+v got a truncated answer or one to another call: %+v", c, a)
		}
		if a.claim == "replayed" && notRunCount > 0 && notRunCount == i {
			return fmt.Sprintf("%+v got the verdict not-run, but its answer is stored: %+v", c, answers)
		}
		if a.err == nil && a.verdict == "not-run" {
			notRunCount++
		}
	}
	if notRunCount == len(answers) && runs > 0 {
		return fmt.Sprintf("%+v got the verdict not-run, but ran %d times: %+v", c, runs, answers)
	}
	return ""
}

// findFirstViolation counts the answers in outcomes by status, verdict and claim, and returns the first violation of the
// guarantees, or "" if there is none. answers holds the answers to each of the calls.
func findFirstViolation(executions *executionCounter, calls []randomCall, answers [][]answer, outcomes map[string]int) string {
	first := ""
	for i, c := range calls {
		for _, a := range answers[i] {
			outcomes[fmt.Sprintf("%d %s %s", a.status, a.verdict, a.claim)]++
		}
		if first == "" {
			first = c.findViolation(executions, answers[i])
		}
	}
	return first
}

// perform makes the call and its repeats, and returns all answers.
func (c randomCall) perform(f *fleet) []answer {
	var answers []answer
	for i := range c.repeats + 1 {
		n := f.nodes[c.nodeIndex]
		if c.otherNodes {
			n = f.nodes[(c.nodeIndex+i)%len(f.nodes)]
		}
		header := []string{"Celeryyard-Timeout-Ms", c.timeoutMillis}
		if c.key != "" {
			header = append(header, "idempotency-key", c.key)
		}
		ctx, cancel := context.WithCancel(context.Background())
		if c.cancelAfter > 0 {
			time.AfterFunc(c.cancelAfter, cancel)
		}
		answers = append(answers, n.callContext(ctx, c.method, "north", "/"+c.id+"?do="+c.behaviour, c.id+"-body", header...))
		cancel()
	}
	return answers
}

// Guards against calls that run twice, against the verdict "not run" for calls that ran, and against
// answers that are truncated or belong to a different call. The test mixes complete, lost and
// truncated answers, timeouts, cancellations, rejections and repeats with planned stops and crashes
// of nodes.
func TestAtMostOnceUnderFaults(t *testing.T) {
	randomCalls{
		seed: 4, runs: 25, gapMillis: 4, settle: 100 * time.Millisecond,
		newCall: newRandomCall,
		disturb: func(f *fleet, r *rand.Rand, i, n int) {
			if i == n/2 {
				f.injectFault(r)
			}
		},
	}.check(t)
}

// randomCalls is a property test with random calls to a fleet of four nodes in two zones.
type randomCalls struct {
	seed int64
	// runs is the number of sequences of calls.
	runs int
	// gapMillis bounds the pause between two calls, and settle is the time after the last one.
	gapMillis int
	settle    time.Duration
	newCall   func(r *rand.Rand, id string) randomCall
	// disturb is called once the i-th of n calls has begun.
	disturb func(f *fleet, r *rand.Rand, i, n int)
}

// check makes the calls and compares their answers with the executions.
func (p randomCalls) check(t *testing.T) {
	executions := &executionCounter{counts: map[string]int{}}
	f := newFleet(t, 3)
	for i, zone := range []string{"z1", "z1", "z2", "z2"} {
		f.addNode(fmt.Sprintf("n%d", i), zone, executions)
	}
	f.cluster.RetryBudgetPercent = 100
	f.publish()
	params := gopter.DefaultTestParametersWithSeed(p.seed)
	params.MinSuccessfulTests = p.runs
	var lastID atomic.Int64
	outcomes := map[string]int{}
	props := gopter.NewProperties(params)
	props.Property("each call runs at most once and gets a correct verdict", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 1))
		var wg sync.WaitGroup
		calls := make([]randomCall, 48)
		answers := make([][]answer, len(calls))
		for i := range calls {
			calls[i] = p.newCall(r, fmt.Sprintf("c%d", lastID.Add(1)))
			wg.Go(func() { answers[i] = calls[i].perform(f) })
			time.Sleep(time.Duration(r.IntN(p.gapMillis)) * time.Millisecond)
			p.disturb(f, r, i, len(calls))
		}
		wg.Wait()
		time.Sleep(p.settle) // wait for executions that end after their calls
		return findFirstViolation(executions, calls, answers, outcomes)
	}, gen.UInt64()))
	props.TestingRun(t)
	t.Logf("answers by status, verdict and claim: %v", outcomes)
}

// injectFault restarts a random node gracefully, crashes it, or does nothing.
func (f *fleet) injectFault(r *rand.Rand) {
	n := f.nodes[r.IntN(len(f.nodes))]
	switch r.IntN(3) {
	case 0:
		f.restartGracefully(n)
	case 1:
		f.crash(n, time.Duration(r.IntN(50))*time.Millisecond)
	}
}
