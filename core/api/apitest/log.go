// Package apitest provides stand-ins for interfaces of package api.
package apitest

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/verdict"
)

// Fault is a way in which MemoryLog treats proposals.
type Fault int

// Faults of MemoryLog.
const (
	None Fault = iota
	// Isolated answers no barrier and refuses each proposal before it enters the log.
	Isolated
	// LoseAnswer applies each proposal and reports that it may have run.
	LoseAnswer
	// Silent takes proposals in, but neither applies nor answers them.
	Silent
)

// MemoryLog is an api.Log of a single instance in memory. It calls back from its
// own goroutine, one call after another.
type MemoryLog struct {
	mu       sync.Mutex
	sm       api.StateMachine
	index    uint64
	fault    Fault
	released resource.Version
	// confirm is the time of the last Status call that was not isolated.
	confirm time.Time
	calls   chan func()
}

// NewMemoryLog returns an empty log. Close ends its goroutine.
func NewMemoryLog() *MemoryLog {
	l := &MemoryLog{calls: make(chan func(), 1024)}
	go func() {
		for f := range l.calls {
			f()
		}
	}()
	return l
}

// Close ends the goroutine of the log. No method may be called afterwards.
func (l *MemoryLog) Close() { close(l.calls) }

// SetFault sets the treatment of the following calls.
func (l *MemoryLog) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Attach implements api.Log.
func (l *MemoryLog) Attach(sm api.StateMachine) { l.sm = sm }

// Propose implements api.Log.
func (l *MemoryLog) Propose(data []byte, _ time.Duration, done func(result any, err error)) {
	l.calls <- func() {
		fault, index := l.next()
		if fault == Isolated {
			done(nil, verdict.Wrap(verdict.NotRun, errors.New("no leader is known")))
			return
		}
		if fault == Silent {
			return
		}
		result := l.sm.Apply(index, data)
		if fault == LoseAnswer {
			done(nil, verdict.Wrap(verdict.MayHaveRun, errors.New("the answer was lost")))
			return
		}
		done(result, nil)
	}
}

func (l *MemoryLog) next() (Fault, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != Isolated {
		l.index++
	}
	return l.fault, l.index
}

// Barrier implements api.Log.
func (l *MemoryLog) Barrier(_ time.Duration, done func(err error)) {
	l.calls <- func() {
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
		l.confirm = time.Now()
	}
	return api.QuorumStatus{Member: "memory", Role: "leader", Term: 1, Leader: "memory", Commit: l.index, Applied: l.index, Confirmed: l.confirm}
}

// Release implements api.Log.
func (l *MemoryLog) Release(v resource.Version, done func(err error)) {
	l.mu.Lock()
	l.released = max(l.released, v)
	l.mu.Unlock()
	l.calls <- func() { done(nil) }
}

// Released implements api.Log.
func (l *MemoryLog) Released() resource.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}
