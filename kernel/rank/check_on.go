//go:build lockcheck

package rank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// CheckEnabled is true if this build checks the lock order.
const CheckEnabled = true

var (
	heldMu sync.Mutex
	// heldRanks maps goroutine IDs to the ranks of the locks that the goroutine holds.
	heldRanks = map[int64][]Rank{}
)

// recordAcquire records that the goroutine is about to acquire a lock of rank r. It panics if
// the goroutine already holds a lock of the same or a higher rank. It is called before the
// acquisition, so it reports a wrong order whether or not the acquisition would deadlock.
func recordAcquire(r Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, h := range heldRanks[id] {
		if h >= r {
			panic(fmt.Sprintf("lock order: %v requested while %v is held", r, h))
		}
	}
	heldRanks[id] = append(heldRanks[id], r)
}

func recordRelease(r Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := heldRanks[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] == r {
			ranks = append(ranks[:i], ranks[i+1:]...)
			break
		}
	}
	if len(ranks) == 0 {
		delete(heldRanks, id)
		return
	}
	heldRanks[id] = ranks
}

// goroutineID parses the goroutine ID from the first line of the stack trace, such as
// "goroutine 17 [running]:". It is slow and used in test builds only.
func goroutineID() int64 {
	var buf [64]byte
	b := buf[:runtime.Stack(buf[:], false)]
	b = bytes.TrimPrefix(b, []byte("goroutine "))
	id, err := strconv.ParseInt(string(b[:bytes.IndexByte(b, ' ')]), 10, 64)
	if err != nil {
		panic("lock order: stack trace has no goroutine ID")
	}
	return id
}
