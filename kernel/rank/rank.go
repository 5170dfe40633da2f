// Package rank provides mutexes that carry a rank and the one list of ranks of
// the code base.
//
// A goroutine takes locks only in rising rank. Two locks of the same rank are
// never held at once. Built with the tag lockcheck, an acquisition that breaks
// the rule panics and names both ranks; without the tag the check costs nothing.
package rank

import (
	"fmt"
	"sync"
)

// Rank is the position of a lock in the lock order. Lower ranks are taken first.
type Rank int

// Ranks of every table, in the order in which their locks may be taken.
const (
	Kernel       Rank = 10
	Peer         Rank = 20
	Session      Rank = 30
	Quorum       Rank = 40
	Journal      Rank = 50
	Catalog      Rank = 60
	Discovery    Rank = 70
	Distribution Rank = 80
	Capacity     Rank = 85
	View         Rank = 90
	Announce     Rank = 100
	Routing      Rank = 110
	Balancer     Rank = 120
	Admission    Rank = 130
	Idempotency  Rank = 140
	Load         Rank = 150
	Pool         Rank = 200
	Events       Rank = 210
)

var names = map[Rank]string{
	Kernel: "kernel", Peer: "peer", Session: "session", Quorum: "quorum", Journal: "journal",
	Catalog: "catalog", Discovery: "discovery", Distribution: "distribution", Capacity: "capacity", View: "view",
	Announce: "announce", Routing: "routing", Balancer: "balancer", Admission: "admission",
	Idempotency: "idempotency", Load: "load", Pool: "pool", Events: "events",
}

// String returns the name and the number of the rank.
func (r Rank) String() string {
	if n, ok := names[r]; ok {
		return fmt.Sprintf("%s(%d)", n, int(r))
	}
	return fmt.Sprintf("rank(%d)", int(r))
}

// Mutex is a sync.Mutex with a rank. Create it with New.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// New returns an unlocked mutex of rank r.
func New(r Rank) *Mutex { return &Mutex{rank: r} }

// Lock takes the mutex. With the tag lockcheck it panics when the goroutine
// already holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock releases the mutex.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RWMutex is a sync.RWMutex with a rank. Create it with NewRW.
type RWMutex struct {
	mu   sync.RWMutex
	rank Rank
}

// NewRW returns an unlocked reader/writer mutex of rank r.
func NewRW(r Rank) *RWMutex { return &RWMutex{rank: r} }

// Lock takes the mutex for writing; the check is that of Mutex.Lock.
func (m *RWMutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock releases the mutex taken by Lock.
func (m *RWMutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}

// RLock takes the mutex for reading; the check is that of Mutex.Lock, because
// a second read lock deadlocks when a writer waits between the two.
func (m *RWMutex) RLock() {
	acquire(m.rank)
	m.mu.RLock()
}

// RUnlock releases the mutex taken by RLock.
func (m *RWMutex) RUnlock() {
	m.mu.RUnlock()
	release(m.rank)
}
