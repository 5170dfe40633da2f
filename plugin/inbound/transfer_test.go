package inbound

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Pattern: uploads of 60 KB to eight endpoints on links of 3.5 Mbit/s, of which more arrive than the
// links carry. Guards against bodies that all share the link and all arrive late: the accepted ones
// must arrive in time and use most of the link.
func TestUploadsBeyondTheLinkAreRejected(t *testing.T) {
	const rate, target = 3.5e6 / 8, 1500 * time.Millisecond
	rng := rand.New(rand.NewPCG(4, 4))
	in := transfers{bytesPerSecond: rate}
	type body struct{ left, counted int64 }
	var active []*body
	received, late, accepted, rejected := int64(0), 0, 0, 0
	started := map[*body]int{}
	const step = 10 * time.Millisecond
	for now := 0; now < 6000; now++ { // one minute
		if rng.Float64() < 10.2*step.Seconds() { // 81.6 uploads a second over eight endpoints
			n := int64(20e3 + rng.IntN(80e3))
			if counted, ok := in.begin(n, transferLimit(target, target/20, 4*time.Second)); ok {
				b := &body{n, counted}
				active, started[b], accepted = append(active, b), now, accepted+1
			} else {
				rejected++
			}
		}
		share := int64(rate*step.Seconds()) / int64(max(len(active), 1))
		kept := active[:0]
		for _, b := range active {
			b.left -= share
			received += min(share, share+b.left)
			if b.left > 0 {
				kept = append(kept, b)
				continue
			}
			in.end(b.counted)
			if time.Duration(now-started[b])*step > target/2 {
				late++
			}
		}
		active = kept
	}
	used := float64(received) / (rate * 60)
	t.Logf("%d accepted, %d rejected, %d late, %.2f of the link used", accepted, rejected, late, used)
	if late > accepted/20 || used < 0.5 || rejected == 0 {
		t.Fatal("the accepted bodies do not fit the link")
	}
}

// Guards against bodies that are rejected on a link that carries them, and against a body that no link
// would ever be accepted for because it is longer than the bound while nothing else is received.
func TestTransferBounds(t *testing.T) {
	fast := transfers{bytesPerSecond: 1e9 / 8}
	for i := range 100 {
		if _, ok := fast.begin(100e3, 300*time.Millisecond); !ok {
			t.Fatalf("body %d is rejected on a fast link", i)
		}
	}
	slow := transfers{bytesPerSecond: 437e3}
	counted, ok := slow.begin(200e3, 450*time.Millisecond)
	if !ok {
		t.Fatal("a long body is rejected on an idle link")
	}
	if _, ok := slow.begin(60e3, 450*time.Millisecond); ok {
		t.Fatal("a body is accepted that arrives too late")
	}
	slow.end(counted)
	if _, ok := slow.begin(10e6, time.Second); ok {
		t.Fatal("a body is accepted that cannot arrive in time")
	}
	if slow.pending != 0 {
		t.Fatalf("%d bytes pending", slow.pending)
	}
	var unknown transfers
	if _, ok := unknown.begin(-1, time.Millisecond); !ok || unknown.pending != assumedBodyBytes {
		t.Fatal("a body is rejected although the link is unknown")
	}
}
