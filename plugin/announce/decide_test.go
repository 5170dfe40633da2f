package announce

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

const testMaxUnreadyTime = 30 * time.Second

// Guards against a working upstream that stays unready for long because its health path is wrong
// or outdated, and against an upstream that changes state with every probe.
func TestHealthNeitherStaysUnreadyNorFlaps(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(50)
	params.MinSuccessfulTests = 300
	props := gopter.NewProperties(params)
	props.Property("a reachable upstream never stays unready for longer than the limit", prop.ForAllNoShrink(func(rs []int) bool {
		now := time.Unix(1e9, 0)
		h := newHealth(1, 3, testMaxUnreadyTime, now)
		unready := now
		for _, r := range rs {
			now = now.Add(time.Second)
			h.addResult(probeResult(r), now) // never refused
			if h.ready {
				unready = now
			}
			if now.Sub(unready) > testMaxUnreadyTime {
				return false
			}
		}
		return true
	}, gen.SliceOfN(300, gen.IntRange(int(probeOK), int(probeTimedOut)))))
	props.Property("a ready upstream stays ready with fewer than nine late responses in a row", prop.ForAllNoShrink(func(runs []int) bool {
		now := time.Unix(1e9, 0)
		h := newHealth(1, 3, testMaxUnreadyTime, now)
		h.addResult(probeOK, now)
		for _, n := range runs {
			for range n {
				now = now.Add(time.Second)
				if h.addResult(probeTimedOut, now); !h.ready {
					return false
				}
			}
			now = now.Add(time.Second)
			h.addResult(probeOK, now)
		}
		return true
	}, gen.SliceOfN(30, gen.IntRange(0, 8))))
	props.TestingRun(t)
}

// Guards against an upstream that fails periodically and changes state each time.
func TestFlappingUpstreamChangesStateRarely(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(51))
	props.Property("an upstream that fails periodically changes state ever less often", prop.ForAllNoShrink(func(period int) bool {
		now := time.Unix(1e9, 0)
		h := newHealth(1, 3, testMaxUnreadyTime, now)
		stateChanges := 0
		for i := range 600 {
			now = now.Add(time.Second)
			r := probeOK
			if i/period%2 == 1 {
				r = probeRefused
			}
			if h.addResult(r, now) {
				stateChanges++
			}
		}
		return stateChanges <= 600/16
	}, gen.IntRange(1, 6)))
	props.TestingRun(t)
}

// Guards against an upstream that stays ready after its process has exited.
func TestRefusedConnectionsEndReadiness(t *testing.T) {
	now := time.Unix(1e9, 0)
	h := newHealth(1, 3, testMaxUnreadyTime, now)
	h.addResult(probeOK, now)
	for range 3 {
		now = now.Add(time.Second)
		h.addResult(probeRefused, now)
	}
	if h.ready {
		t.Fatal("upstream is ready although nothing listens")
	}
	for range 200 {
		now = now.Add(time.Second)
		if h.addResult(probeRefused, now); h.ready {
			t.Fatal("upstream became ready although nothing listens")
		}
	}
}

// Guards against announcements that share a revision, against replies from an earlier session that
// confirm a later announcement, and against an incarnation that is not raised above the one that
// the control instance knows.
func TestAnnouncementsAreOrdered(t *testing.T) {
	a := announcer{desiredRecord: resource.Endpoint{Node: "n", Incarnation: 5, State: resource.StateStarting}, dirty: true}
	first, _ := a.nextAnnouncement()
	if _, ok := a.nextAnnouncement(); ok {
		t.Fatal("second announcement before the reply to the first")
	}
	a.markDirty()
	second, ok := a.nextAnnouncement()
	if !ok || second.Revision <= first.Revision {
		t.Fatalf("after a new session: %+v, %t", second, ok)
	}
	a.handleReply(first.Revision, 0, true)
	if a.confirmedRevision != 0 {
		t.Fatal("reply from the earlier session confirmed the later announcement")
	}
	a.handleReply(second.Revision, 9, false)
	third, ok := a.nextAnnouncement()
	if !ok || third.Incarnation != 10 || third.Revision <= second.Revision {
		t.Fatalf("after a refusal: %+v, %t", third, ok)
	}
	a.handleReply(third.Revision, 0, true)
	if _, ok := a.nextAnnouncement(); ok || a.confirmedRevision != third.Revision {
		t.Fatal("confirmed announcement is repeated")
	}
}
