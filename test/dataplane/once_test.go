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

// ledger counts the executions of each call at the upstreams.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// ServeHTTP is an upstream that counts and then behaves as the call asks.
func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	id := strings.TrimPrefix(r.URL.Path, "/")
	l.mu.Lock()
	l.runs[id]++
	n := l.runs[id]
	l.mu.Unlock()
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
	_, _ = fmt.Fprintf(w, "%s %s %d", id, b, n)
}

var behaviours = []string{"ok", "ok", "ok", "slow", "slow", "lost", "cut", "cutchunk", "503", "hang"}

// step is one call or one change of the fleet, drawn from a seed.
type step struct {
	method, id, key, do string
	node                int
	timeout             string
	cancel              time.Duration
	repeats             int
}

func drawStep(r *rand.Rand, id string) step {
	s := step{id: id, do: behaviours[r.IntN(len(behaviours))], node: r.IntN(4), timeout: "250"}
	s.method = []string{"POST", "POST", "GET", "DELETE"}[r.IntN(4)]
	if s.method == "POST" && r.IntN(2) == 0 {
		s.key, s.repeats = "k-"+id, r.IntN(4)
	}
	switch r.IntN(8) {
	case 0:
		s.timeout = []string{"0", "1", "5", "20"}[r.IntN(4)]
	case 1:
		s.cancel = time.Duration(r.IntN(20)) * time.Millisecond
	}
	return s
}

// check compares an answer with the executions that were counted once all is quiet.
func (s step) check(l *ledger, all []answer) string {
	runs := l.count(s.id)
	if s.method != "GET" && runs > 1 {
		return fmt.Sprintf("%+v ran %d times: %+v", s, runs, all)
	}
	notRun := 0
	for i, a := range all {
		if a.err == nil && a.verdict == "" && (a.status != 200 && a.status != 503 || !strings.HasPrefix(a.body, s.id+" "+s.id+"-body ")) {
			return fmt.Sprintf("%+v got a foreign or cut answer: %+v", s, a)
		}
		if a.claim == "replayed" && notRun > 0 && notRun == i {
			return fmt.Sprintf("%+v was said not to have run, but its answer is kept: %+v", s, all)
		}
		if a.err == nil && a.verdict == "not-run" {
			notRun++
		}
	}
	if notRun == len(all) && runs > 0 {
		return fmt.Sprintf("%+v was said not to have run, but ran %d times: %+v", s, runs, all)
	}
	return ""
}

func (s step) perform(f *fleet) []answer {
	var all []answer
	for range s.repeats + 1 {
		n := f.nodes[s.node]
		header := []string{"Celeryyard-Timeout-Ms", s.timeout}
		if s.key != "" {
			header = append(header, "idempotency-key", s.key)
		}
		ctx, cancel := context.WithCancel(context.Background())
		if s.cancel > 0 {
			time.AfterFunc(s.cancel, cancel)
		}
		all = append(all, n.callContext(ctx, s.method, "north", "/"+s.id+"?do="+s.do, s.id+"-body", header...))
		cancel()
	}
	return all
}

// Guards against calls that run twice, against "not run" for calls that ran, and
// against answers that are cut or belong to another call, under any mix of
// answers, lost and cut answers, timeouts, cancellations, rejections, repeats,
// planned stops and crashes of nodes.
func TestAtMostOnceUnderFaults(t *testing.T) {
	l := &ledger{runs: map[string]int{}}
	f := newFleet(t, 3)
	for i, zone := range []string{"z1", "z1", "z2", "z2"} {
		f.add(fmt.Sprintf("n%d", i), zone, l)
	}
	f.clust.RetryBudgetPercent = 100
	params := gopter.DefaultTestParametersWithSeed(4)
	params.MinSuccessfulTests = 25
	var serial atomic.Int64
	outcomes := map[string]int{}
	props := gopter.NewProperties(params)
	props.Property("each call runs at most once and is told the truth", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 1))
		var wg sync.WaitGroup
		steps := make([]step, 48)
		answers := make([][]answer, len(steps))
		for i := range steps {
			steps[i] = drawStep(r, fmt.Sprintf("c%d", serial.Add(1)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i] = steps[i].perform(f)
			}()
			time.Sleep(time.Duration(r.IntN(4)) * time.Millisecond)
			if i == len(steps)/2 {
				f.disturb(r)
			}
		}
		wg.Wait()
		time.Sleep(100 * time.Millisecond) // executions that outlive their calls are counted
		for i, s := range steps {
			for _, a := range answers[i] {
				outcomes[fmt.Sprintf("%d %s %s", a.status, a.verdict, a.claim)]++
			}
			if msg := s.check(l, answers[i]); msg != "" {
				return msg
			}
		}
		return ""
	}, gen.UInt64()))
	props.TestingRun(t)
	t.Logf("answers by status, verdict and claim: %v", outcomes)
}

// disturb stops or crashes a node, or does nothing.
func (f *fleet) disturb(r *rand.Rand) {
	n := f.nodes[r.IntN(len(f.nodes))]
	switch r.IntN(3) {
	case 0:
		f.leave(n)
	case 1:
		f.crash(n, time.Duration(r.IntN(50))*time.Millisecond)
	}
}
