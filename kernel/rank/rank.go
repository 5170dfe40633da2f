// Package rank defines the lock order of the code base and provides mutexes that check it.
//
// Each mutex has a rank. A goroutine acquires locks only in ascending rank and never
// holds two locks of the same rank. In builds with the tag lockcheck, an acquisition
// that violates this rule panics with both ranks; without the tag the check costs nothing.
package rank

import (
	"fmt"
	"sync"
)

// Rank is the position of a lock in the lock order. Lower ranks are acquired first.
type Rank int

// Ranks of all tables, in the order in which their locks may be acquired.
const (
	Kernel       Rank = 10
	Peer         Rank = 20
	Session      Rank = 30
	Quorum       Rank = 40
	Journal      Rank = 50
	Intake       Rank = 55
	Catalog      Rank = 60
	Closures     Rank = 65
	Rollouts     Rank = 67
	Discovery    Rank = 70
	Distribution Rank = 80
	Capacity     Rank = 85
	Quota        Rank = 87
	View         Rank = 90
	Callers      Rank = 95
	Limiter      Rank = 97
	Announce     Rank = 100
	Routing      Rank = 110
	Balancer     Rank = 120
	Admission    Rank = 130
	Lineage      Rank = 135
	Idempotency  Rank = 140
	Cost         Rank = 145
	Load         Rank = 150
	Pressure     Rank = 160
	Pool         Rank = 200
	Events       Rank = 210
)

var rankNames = map[Rank]string{
	Kernel: "kernel", Peer: "peer", Session: "session", Quorum: "quorum", Journal: "journal",
	Intake: "intake", Catalog: "catalog", Closures: "closures", Rollouts: "rollouts", Discovery: "discovery", Distribution: "distribution", Capacity: "capacity", Quota: "quota", View: "view",
	Callers: "callers", Limiter: "limiter", Announce: "announce", Routing: "routing", Balancer: "balancer", Admission: "admission", Lineage: "lineage",
	Idempotency: "idempotency", Cost: "cost", Load: "load", Pressure: "pressure", Pool: "pool", Events: "events",
}

// String returns the name and the number of the rank.
func (r Rank) String() string {
	if n, ok := rankNames[r]; ok {
		return fmt.Sprintf("%s(%d)", n, int(r))
	}
	return fmt.Sprintf("rank(%d)", int(r))
}

// Mutex is a sync.Mutex with a rank. NewMutex creates it; the zero value has no valid rank.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// NewMutex returns an unlocked mutex of rank r.
func NewMutex(r Rank) *Mutex { return &Mutex{rank: r} }

// Lock acquires the mutex. With the tag lockcheck it panics if the goroutine already
// holds a lock of the same or a higher rank.
func (m *Mutex) Lock() {
	recordAcquire(m.rank)
	m.mu.Lock()
}

// Unlock releases the mutex.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	recordRelease(m.rank)
}

// RWMutex is a sync.RWMutex with a rank. NewRWMutex creates it; the zero value has no valid rank.
type RWMutex struct {
	mu   sync.RWMutex
	rank Rank
}

// NewRWMutex returns an unlocked reader/writer mutex of rank r.
func NewRWMutex(r Rank) *RWMutex { return &RWMutex{rank: r} }

// Lock acquires the mutex for writing. It makes the same check as Mutex.Lock.
func (m *RWMutex) Lock() {
	recordAcquire(m.rank)
	m.mu.Lock()
}

// Unlock releases the mutex acquired by Lock.
func (m *RWMutex) Unlock() {
	m.mu.Unlock()
	recordRelease(m.rank)
}

// RLock acquires the mutex for reading. It makes the same check as Mutex.Lock, because a
// second read lock on the same goroutine deadlocks if a writer starts to wait between the two.
func (m *RWMutex) RLock() {
	recordAcquire(m.rank)
	m.mu.RLock()
}

// RUnlock releases the mutex acquired by RLock.
func (m *RWMutex) RUnlock() {
	m.mu.RUnlock()
	recordRelease(m.rank)
}
