package announce

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

const maxUnready = 30 * time.Second

// Guards against a good upstream that is held back for long by a health path
// that lies or lags, and against an upstream that turns with every probe.
func TestHealthNeitherStarvesNorFlaps(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(50)
	params.MinSuccessfulTests = 300
	props := gopter.NewProperties(params)
	props.Property("a reachable upstream is never held back for longer than the limit", prop.ForAllNoShrink(func(rs []int) bool {
		now := time.Unix(1e9, 0)
		h := newHealth(1, 3, maxUnready, now)
		unready := now
		for _, r := range rs {
			now = now.Add(time.Second)
			h.probe(result(r), now) // never refused
			if h.ready {
				unready = now
			}
			if now.Sub(unready) > maxUnready {
				return false
			}
		}
		return true
	}, gen.SliceOfN(300, gen.IntRange(int(probeOK), int(probeLate)))))
	props.Property("a ready upstream stays so for fewer than nine weak failures in a row", prop.ForAllNoShrink(func(runs []int) bool {
		now := time.Unix(1e9, 0)
		h := newHealth(1, 3, maxUnready, now)
		h.probe(probeOK, now)
		for _, n := range runs {
			for range n {
				now = now.Add(time.Second)
				if h.probe(probeLate, now); !h.ready {
					return false
				}
			}
			now = now.Add(time.Second)
			h.probe(probeOK, now)
		}
		return true
	}, gen.SliceOfN(30, gen.IntRange(0, 8))))
	props.TestingRun(t)
}

// Guards against an upstream that fails in turns and changes state each time.
func TestHealthChangesEverMoreSlowly(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(51))
	props.Property("an upstream that fails in turns changes state ever more slowly", prop.ForAllNoShrink(func(period int) bool {
		now := time.Unix(1e9, 0)
		h := newHealth(1, 3, maxUnready, now)
		turns := 0
		for i := range 600 {
			now = now.Add(time.Second)
			r := probeOK
			if i/period%2 == 1 {
				r = probeRefused
			}
			if h.probe(r, now) {
				turns++
			}
		}
		return turns <= 600/16
	}, gen.IntRange(1, 6)))
	props.TestingRun(t)
}

// Guards against an upstream that stays ready after its process has died.
func TestRefusedConnectionsEndReadiness(t *testing.T) {
	now := time.Unix(1e9, 0)
	h := newHealth(1, 3, maxUnready, now)
	h.probe(probeOK, now)
	for range 3 {
		now = now.Add(time.Second)
		h.probe(probeRefused, now)
	}
	if h.ready {
		t.Fatal("upstream is ready although nothing listens")
	}
	for range 200 {
		now = now.Add(time.Second)
		if h.probe(probeRefused, now); h.ready {
			t.Fatal("upstream became ready although nothing listens")
		}
	}
}

// Guards against announcements that share a revision, answers of an earlier
// session that confirm a later announcement, and an incarnation that stays
// below a known one.
func TestAnnouncementsAreOrdered(t *testing.T) {
	a := announcer{desired: resource.Endpoint{Node: "n", Incarnation: 5, State: resource.StateStarting}, dirty: true}
	first, _ := a.next()
	if _, ok := a.next(); ok {
		t.Fatal("second announcement before the answer to the first")
	}
	a.renew()
	second, ok := a.next()
	if !ok || second.Revision <= first.Revision {
		t.Fatalf("after a new session: %+v, %t", second, ok)
	}
	a.answered(first.Revision, 0, true)
	if a.confirmed != 0 {
		t.Fatal("answer of the earlier session confirmed the later announcement")
	}
	a.answered(second.Revision, 9, false)
	third, ok := a.next()
	if !ok || third.Incarnation != 10 || third.Revision <= second.Revision {
		t.Fatalf("after a refusal: %+v, %t", third, ok)
	}
	a.answered(third.Revision, 0, true)
	if _, ok := a.next(); ok || a.confirmed != third.Revision {
		t.Fatal("confirmed announcement is repeated")
	}
}
