package quorum

import (
	"time"

	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// writeTimeWindow is the time for which a slow write is remembered at least. A disk that is slow now and then
// would otherwise look healthy between two writes.
const writeTimeWindow = raft.Instant(2 * time.Second)

// writeTimes holds the longest duration of the writes that ended in the current window and in the one
// before. The zero value is ready to use.
type writeTimes struct {
	windowStart       raft.Instant
	current, previous time.Duration
}

// record adds the duration of a write that ended at now.
func (w *writeTimes) record(now raft.Instant, d time.Duration) {
	w.advance(now)
	w.current = max(w.current, d)
}

// longest returns the longest duration of the writes that ended within the last writeTimeWindow. Some
// earlier ones, within twice that time, count as well.
func (w *writeTimes) longest(now raft.Instant) time.Duration {
	w.advance(now)
	return max(w.current, w.previous)
}

// advance begins a new window if the current one has ended.
func (w *writeTimes) advance(now raft.Instant) {
	switch elapsed := now - w.windowStart; {
	case elapsed >= 2*writeTimeWindow:
		w.windowStart, w.current, w.previous = now, 0, 0
	case elapsed >= writeTimeWindow:
		w.windowStart, w.current, w.previous = w.windowStart+writeTimeWindow, 0, w.current
	}
}
