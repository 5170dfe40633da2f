package outbound

import (
	"net/http"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

const (
	// minStatedAge is the age of a call below which it is not stated to other nodes, unless it was offered before.
	minStatedAge = 20 * time.Millisecond
	// timeoutSmoothingDivisor is the reciprocal of the weight of a shorter timeout in the usual one. A longer timeout is
	// adopted at once.
	timeoutSmoothingDivisor = 256
	// lateWaitFraction is the fraction of its target that an ordered call may wait although it cannot meet the target.
	lateWaitFraction = 0.25
)

// usualTimeouts holds the timeout that callers usually state, by route. Callers that repeat a request within one deadline
// state a shorter one, by which the age of the request is known. The zero value is ready to use; it is safe for concurrent
// use.
type usualTimeouts struct {
	// mu is a leaf lock: nothing is called while it is held.
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

// observe records the timeout that a caller states, and returns by how much it is shorter than usual.
func (u *usualTimeouts) observe(route string, timeout time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual := u.byRoute[route]
	if timeout < usual {
		u.byRoute[route] = usual - (usual-timeout)/timeoutSmoothingDivisor
		return usual - timeout
	}
	if u.byRoute == nil || len(u.byRoute) >= maxTrackedRoutes {
		u.byRoute = map[string]time.Duration{}
	}
	u.byRoute[route] = timeout
	return 0
}

// orderedWait returns how long an ordered call above the lowest priority may wait for a slot: as long as it can still meet
// its target, and otherwise a short time, so that late calls do not fill the queues. age is the time since the request
// was first made, and mean the mean duration of its route's calls.
func orderedWait(left, age, target, mean time.Duration) time.Duration {
	wait := max(target-age-mean, time.Duration(lateWaitFraction*float64(target)))
	return max(min(wait, time.Duration(urgentWaitFraction*float64(left))), 0)
}

// setAge states the age of an ordered call that did not just arrive, and that a call chosen by cost is offered to another
// endpoint if this one is slow.
func (c *call) setAge(header http.Header, now time.Time) {
	if !c.ordered && !c.byCost {
		return
	}
	a := httpcall.CallAge{Age: now.Sub(c.startedAt) + c.earlier, IsRepeated: c.offers+c.arrivals > 0, IsProbing: c.byCost && c.isProbing()}
	if a.IsRepeated || a.IsProbing || a.Age >= minStatedAge {
		header[httpcall.HeaderAge] = []string{a.Encode()}
	}
}
