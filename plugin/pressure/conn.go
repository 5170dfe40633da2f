package pressure

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celeryyard/celeryyard/core/account"
	"github.com/celeryyard/celeryyard/core/httphead"
)

// retryAfter is the time after which a client that was refused for lack of memory should return.
const retryAfter = 200 * time.Millisecond

// refusal returns the error for a client that the process has no memory for.
func (l Limits) refusal() *account.LimitError {
	return &account.LimitError{Limit: limitHeld, Max: l.HeldBytes, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// Conn is the account of one connection. It implements account.Connection.
type Conn struct {
	p     *Pressure
	class Class
	shed  func(account.Phase)

	// mu guards the fields below. It is a leaf lock below all lock ranks.
	mu    sync.Mutex
	phase account.Phase
	// since is when the phase began.
	since time.Time
	held  int64
	// trusted is set once the other side has proved to belong to the fleet. Such a connection is never closed or refused anything.
	trusted bool
	// ended is set once the connection was closed by either side. It holds nothing from then on.
	ended bool
}

// Reserve implements account.Connection. A trusted connection is refused only the buffers of responses, which are streamed then.
func (c *Conn) Reserve(k account.Kind, n int64) error {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return c.p.limits.refusal()
	}
	trusted := c.trusted
	c.held += n
	wanted := c.held
	total := c.total().Add(n)
	c.mu.Unlock()
	ceiling := c.p.limits.ceiling(k, n, c.class)
	switch {
	case n <= 0, trusted && (k != account.KindResponse || total <= c.p.limits.fleetCeiling()):
		return nil
	case !trusted && (total <= ceiling || c.p.makeRoom(c, ceiling, wanted)):
		return nil
	}
	c.Release(n)
	c.p.refused.Inc()
	return c.p.limits.refusal()
}

// Release implements account.Connection.
func (c *Conn) Release(n int64) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.held -= n
		c.total().Add(-n)
	}
}

// total returns the counter that the connection counts in. mu must be held.
func (c *Conn) total() *atomic.Int64 {
	if c.trusted {
		return &c.p.fleetHeld
	}
	return &c.p.held
}

// SetPhase implements account.Connection. A running connection stays so until its request has ended: a server may read the first
// byte of the next request before.
func (c *Conn) SetPhase(p account.Phase) bool {
	var now time.Time
	if p != account.PhaseRunning { // the age of others decides the order in which they are closed
		now = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p != account.PhaseHead || c.phase != account.PhaseRunning && c.phase != account.PhaseBody {
		c.phase, c.since = p, now
	}
	return !c.ended
}

// Close implements account.Connection.
func (c *Conn) Close() {
	c.mu.Lock()
	c.end()
	c.mu.Unlock()
	c.p.remove(c)
}

// Trust records that the other side has proved to belong to the fleet. The connection is no longer limited, and only its requests
// are accounted for.
func (c *Conn) Trust() {
	if c == nil {
		return
	}
	c.mu.Lock()
	known := c.trusted || c.ended
	if !known {
		c.p.held.Add(-c.held)
		c.trusted = true
		c.held -= httphead.ConnectionCost
		c.p.fleetHeld.Add(c.held)
	}
	c.mu.Unlock()
	if !known {
		c.p.remove(c)
	}
}

// endIfIn ends the account if the connection is still in a phase and may be closed.
func (c *Conn) endIfIn(p account.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.trusted || c.phase != p {
		return false
	}
	c.end()
	return true
}

// end releases what the connection holds. mu must be held.
func (c *Conn) end() {
	c.ended = true
	c.total().Add(-c.held)
	c.held = 0
}

// candidate describes the connection for the choice of those that are closed.
func (c *Conn) candidate(now time.Time, index int) candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := candidate{class: c.class, phase: c.phase, held: c.held, age: now.Sub(c.since), index: index}
	if c.ended || c.trusted {
		d.phase = account.PhaseRunning
	}
	return d
}
