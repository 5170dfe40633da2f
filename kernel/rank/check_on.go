//go:build lockcheck

package rank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// Checked reports whether this build checks the lock order.
const Checked = true

var (
	heldMu sync.Mutex
	held   = map[int64][]Rank{}
)

// acquire records that the goroutine takes a lock of rank r. It panics before
// the lock is taken, so that a wrong order shows even when it does not deadlock.
func acquire(r Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, h := range held[id] {
		if h >= r {
			panic(fmt.Sprintf("lock order: %v requested while %v is held", r, h))
		}
	}
	held[id] = append(held[id], r)
}

func release(r Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	s := held[id]
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == r {
			s = append(s[:i], s[i+1:]...)
			break
		}
	}
	if len(s) == 0 {
		delete(held, id)
		return
	}
	held[id] = s
}

// goroutineID parses the identifier from the stack header, which reads
// "goroutine 17 [running]:". It is slow and used in test builds only.
func goroutineID() int64 {
	var buf [64]byte
	b := buf[:runtime.Stack(buf[:], false)]
	b = bytes.TrimPrefix(b, []byte("goroutine "))
	id, err := strconv.ParseInt(string(b[:bytes.IndexByte(b, ' ')]), 10, 64)
	if err != nil {
		panic("lock order: stack header has no goroutine identifier")
	}
	return id
}
