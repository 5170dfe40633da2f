package quorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// Guards against a slow disk that goes unnoticed because each of its writes ends, and against one that
// counts as slow for good.
func TestWriteTimesRememberSlowWrites(t *testing.T) {
	type write struct {
		at raft.Instant
		d  time.Duration
	}
	rng := rand.New(rand.NewPCG(11, 0))
	for range 200 {
		var w writeTimes
		var writes []write
		now := raft.Instant(1)
		for range 300 {
			now += raft.Instant(rng.Int64N(int64(time.Second)))
			if rng.IntN(2) == 0 {
				d := time.Duration(rng.Int64N(int64(time.Second)))
				w.record(now, d)
				writes = append(writes, write{now, d})
			}
			var least, most time.Duration
			for _, x := range writes {
				if now-x.at < writeTimeWindow {
					least = max(least, x.d)
				}
				if now-x.at < 2*writeTimeWindow {
					most = max(most, x.d)
				}
			}
			if got := w.longest(now); got < least || got > most {
				t.Fatalf("longest write at %v is %v, want %v to %v", time.Duration(now), got, least, most)
			}
		}
	}
}
