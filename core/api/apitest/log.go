// Package apitest provides fake implementations of interfaces of package api.
package apitest

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/statemachine"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Fault is a failure that a MemoryLog simulates.
type Fault int

const (
	// NoFault lets all operations succeed.
	NoFault Fault = iota
	// Isolated fails all barriers and rejects all proposals before they enter the log.
	Isolated
	// LoseResponse applies proposals but reports an error with the verdict MayHaveRun.
	LoseResponse
	// Silent accepts proposals, but neither applies nor answers them.
	Silent
)

// MemoryLog is an in-memory api.Log of a single instance. It runs all callbacks one after
// another in its own goroutine.
type MemoryLog struct {
	mu              sync.Mutex
	machines        statemachine.Set
	lastIndex       uint64
	fault           Fault
	releasedVersion resource.Version
	// confirmed is the time of the last call of Status without the fault Isolated.
	confirmed time.Time
	callbacks chan func()
}

// NewMemoryLog returns an empty log. Close ends its goroutine.
func NewMemoryLog() *MemoryLog {
	l := &MemoryLog{callbacks: make(chan func(), 1024)}
	go func() {
		for f := range l.callbacks {
			f()
		}
	}()
	return l
}

// Close ends the goroutine of the log. No method may be called afterwards.
func (l *MemoryLog) Close() { close(l.callbacks) }

// SetFault sets the failure that is simulated from now on, also for pending callbacks.
func (l *MemoryLog) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// SetStateMachine implements api.Log.
func (l *MemoryLog) SetStateMachine(sm api.StateMachine) { l.machines.SetMain(sm) }

// AddStateMachine implements api.Log.
func (l *MemoryLog) AddStateMachine(name string, sm api.StateMachine) api.ProposeFunc {
	l.machines.Add(name, sm)
	return func(data []byte, timeout time.Duration, done func(any, error)) {
		l.Propose(statemachine.Entry(name, data), timeout, done)
	}
}

// Propose implements api.Log.
func (l *MemoryLog) Propose(data []byte, _ time.Duration, done func(result any, err error)) {
	l.callbacks <- func() {
		fault, index := l.nextIndex()
		if fault == Isolated {
			done(nil, verdict.Wrap(verdict.NotRun, errors.New("no leader is known")))
			return
		}
		if fault == Silent {
			return
		}
		result := l.machines.Apply(index, data)
		if fault == LoseResponse {
			done(nil, verdict.Wrap(verdict.MayHaveRun, errors.New("response was lost")))
			return
		}
		done(result, nil)
	}
}

// nextIndex returns the current fault and the index of a new entry. With the fault Isolated,
// there is no new entry.
func (l *MemoryLog) nextIndex() (Fault, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != Isolated {
		l.lastIndex++
	}
	return l.fault, l.lastIndex
}

// Barrier implements api.Log.
func (l *MemoryLog) Barrier(_ time.Duration, done func(err error)) {
	l.callbacks <- func() {
		l.mu.Lock()
		fault := l.fault
		l.mu.Unlock()
		if fault == Isolated {
			done(errors.New("no leader is known"))
			return
		}
		done(nil)
	}
}

// Status implements api.Log.
func (l *MemoryLog) Status() api.QuorumStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != Isolated {
		l.confirmed = time.Now()
	}
	return api.QuorumStatus{Member: "memory", Role: "leader", Term: 1, Leader: "memory", Commit: l.lastIndex, Applied: l.lastIndex, Confirmed: l.confirmed}
}

// SyncReleasedVersion implements api.Log.
func (l *MemoryLog) SyncReleasedVersion(v resource.Version, done func(err error)) {
	l.mu.Lock()
	l.releasedVersion = max(l.releasedVersion, v)
	l.mu.Unlock()
	l.callbacks <- func() { done(nil) }
}

// ReleasedVersion implements api.Log.
func (l *MemoryLog) ReleasedVersion() resource.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releasedVersion
}
