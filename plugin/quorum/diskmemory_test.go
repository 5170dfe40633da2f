package quorum_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/quorum"
)

const (
	largeTextBytes = 64 << 10
	// largeTexts is the number of large texts that tests propose, together 8 MiB.
	largeTexts = 128
	// maxHeldWhenFull is the bound of the entries in memory while the disk is full: those that are not on disk, at most
	// 1 MiB with diskMemorySettings, and one message.
	maxHeldWhenFull = 2<<20 + largeTextBytes
	// maxHeldWhenHanging is the bound while the disk hangs: one message and those that a leader has sent and that are not
	// acknowledged, at most 4 MiB, may be added.
	maxHeldWhenHanging = 6 << 20
	diskMemorySettings = `, "unsaved_bytes": 1048576`
)

// proposeLargeTexts proposes large texts at one instance and returns the most bytes of entries that another instance held
// in memory meanwhile.
func (g *group) proposeLargeTexts(at, watched string) (most int) {
	g.t.Helper()
	q := g.machines[watched].kernel.Plugin("quorum").(*quorum.Quorum)
	for i := range largeTexts {
		g.proposeLarge(at, fmt.Sprint(i, strings.Repeat("x", largeTextBytes)))
		most = max(most, quorum.LogBytes(q))
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		most = max(most, quorum.LogBytes(q)) // the instance may be behind the others
	}
	return most
}

func (g *group) checkSameTexts(a, b string) {
	g.t.Helper()
	kerneltest.WaitUntil(g.t, time.Minute, a+" and "+b+" hold the same texts", func() bool {
		t := g.machines[a].appliedTexts()
		return len(t) > largeTexts*largeTextBytes && t == g.machines[b].appliedTexts()
	})
}

// Guards against an instance whose disk is full and whose memory grows with every change of the others, and against one that
// does not catch up once its disk has room.
func TestFullDiskDoesNotFillTheMemory(t *testing.T) {
	g := startVoters(t, diskMemorySettings, "a", "b", "c")
	full, other := "a", "b"
	if g.leaderName() == full {
		full, other = other, full
	}
	disk := quorum.NewFullDisk(g.machines[full].kernel.Plugin("quorum").(*quorum.Quorum))
	disk.Full.Store(true)
	if most := g.proposeLargeTexts(other, full); most > maxHeldWhenFull {
		t.Errorf("the instance with the full disk held %d bytes of entries, the bound is %d", most, maxHeldWhenFull)
	}
	disk.Full.Store(false)
	g.checkSameTexts(full, other)
}

// Guards against a leader whose disk hangs and whose memory grows with every change that the others commit, and against
// changes that are not decided because of that disk.
func TestHangingDiskDoesNotFillTheMemory(t *testing.T) {
	g := startVoters(t, diskMemorySettings, "a", "b", "c")
	leader := g.waitLeader()
	other := "a"
	if leader == other {
		other = "b"
	}
	disk := quorum.NewFullDisk(g.machines[leader].kernel.Plugin("quorum").(*quorum.Quorum))
	freed := make(chan struct{})
	hang := func() { <-freed }
	disk.Hang.Store(&hang)
	defer func() {
		select {
		case <-freed:
		default:
			close(freed)
		}
	}()
	if most := g.proposeLargeTexts(other, leader); most > maxHeldWhenHanging {
		t.Errorf("the instance with the hanging disk held %d bytes of entries, the bound is %d", most, maxHeldWhenHanging)
	}
	close(freed)
	g.checkSameTexts(leader, other)
}

// Guards against a copy of the snapshot in memory for each member that needs it: several members return at the same time
// after a loss of power of their zone.
func TestMembersShareOneCopyOfTheSnapshot(t *testing.T) {
	g := startVoters(t, `, "snapshot_entries": 2, "keep_entries": 1`, "a", "b", "c")
	for i := range 4 {
		g.propose("a", fmt.Sprint(i))
	}
	q := g.machines["a"].kernel.Plugin("quorum").(*quorum.Quorum)
	kerneltest.WaitUntil(t, 10*time.Second, "a snapshot", func() bool { return len(quorum.LoadSnapshots(q, 1)[0].Data) > 0 })
	loaded := quorum.LoadSnapshots(q, 3)
	for _, s := range loaded {
		if len(s.Data) == 0 || &s.Data[0] != &loaded[0].Data[0] {
			t.Fatalf("the members get copies of the snapshot at %d", s.Index)
		}
	}
}
