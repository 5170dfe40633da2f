package dataplane

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// transitTime is how long a request that was sent before a change of the upstream may take to begin.
const transitTime = 150 * time.Millisecond

// changingUpstream is what takes its turns at one address. It runs calls to /hold until they are released.
type changingUpstream struct {
	mu        sync.Mutex
	service   string
	changedAt time.Time
	release   chan struct{}
	holding   sync.WaitGroup
	// violations describes the calls for svc that began while the upstream was of another service.
	violations []string
}

func (u *changingUpstream) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	release := u.release
	if age := time.Since(u.changedAt); u.service != "svc" && age > transitTime {
		u.violations = append(u.violations, fmt.Sprintf("%s began at the upstream of %s, %v after it had come", r.URL.Path, u.service, age))
	}
	u.mu.Unlock()
	if r.URL.Path == "/hold" {
		u.holding.Done()
		<-release
	}
}

// Guards against calls that are run by an upstream that they were not admitted for, or that wait for one that is gone, in any
// order of replacements: by another service, by the same one, by a new start with other slots.
func TestWaitingCallsUnderChangesOfTheUpstream(t *testing.T) {
	const slots, waiting = 2, 6
	u := &changingUpstream{service: "svc"}
	f := newFleet(t, slots)
	f.route.TimeoutMillis, f.cluster.EjectAfter = 8000, 1<<20
	n := f.addNode("a", "z1", u)
	caller := f.addNode("caller", "z1", nil)
	address := strings.TrimPrefix(n.upstream.URL, "http://")
	change := func(service string, slots int) {
		e := n.endpoint
		e.Service, e.Slots = service, slots
		u.mu.Lock()
		u.service, u.changedAt = service, time.Now()
		u.mu.Unlock()
		n.announce.setUpstream(e, address)
	}
	run := func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 1))
		change("svc", slots)
		u.mu.Lock()
		release := make(chan struct{})
		u.release = release
		u.mu.Unlock()
		u.holding.Add(slots)
		var held, waits sync.WaitGroup
		for range slots {
			held.Go(func() { caller.call("POST", "north", "/hold", "b") })
		}
		u.holding.Wait()
		var mu sync.Mutex
		results, latest := map[int]int{}, time.Time{}
		for i := range waiting {
			from, method := caller, "POST"
			if i%2 == 0 {
				from, method = n, "GET"
			}
			waits.Go(func() {
				a := from.call(method, "north", fmt.Sprintf("/%x/%d", seed, i), "")
				mu.Lock()
				defer mu.Unlock()
				results[a.status]++
				latest = time.Now()
			})
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
		for range 1 + rng.IntN(3) {
			change([]string{"svc", "svc", "other"}[rng.IntN(3)], 1+rng.IntN(3))
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
		change("other", slots)
		changedAt := time.Now()
		time.Sleep(transitTime)
		close(release) // slots of the first upstream come free
		waits.Wait()
		held.Wait()
		u.mu.Lock()
		defer u.mu.Unlock()
		switch late := latest.Sub(changedAt); {
		case len(u.violations) > 0:
			return strings.Join(u.violations, "; ")
		case late > time.Second:
			return fmt.Sprintf("a call waited %v for an upstream that was gone", late)
		case results[http.StatusOK]+results[http.StatusServiceUnavailable] != waiting:
			return fmt.Sprintf("answers by status: %v", results)
		}
		return ""
	}
	p := gopter.DefaultTestParametersWithSeed(39)
	p.MinSuccessfulTests = 30
	props := gopter.NewProperties(p)
	props.Property("calls run where they were admitted", prop.ForAll(run, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	props.TestingRun(t)
}
