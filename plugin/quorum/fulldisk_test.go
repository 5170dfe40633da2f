package quorum_test

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/quorum"
)

// Guards against a full disk that ends the process of a control instance, blocks the group or stops
// the instance from serving reads, and against an instance that does not vote again once its disk has
// space.
func TestFullDiskCostsOnlyTheVote(t *testing.T) {
	t.Parallel()
	g := startVoters(t, "", "a", "b", "c")
	g.propose("a", "1")
	full := g.waitLeader()
	disk := quorum.NewFullDisk(g.machines[full].kernel.Plugin("quorum").(*quorum.Quorum))
	disk.Full.Store(true)
	var others []string
	for _, n := range g.names {
		if n != full {
			others = append(others, n)
		}
	}
	g.propose(others[0], "2")
	kerneltest.WaitUntil(t, 10*time.Second, "another leader", func() bool { name := g.leaderName(); return name != "" && name != full })
	g.propose(full, "3")
	if err := g.machines[full].barrier(5 * time.Second); err != nil {
		t.Fatalf("read at the instance with the full disk: %v", err)
	}
	g.waitApplied("1,2,3", g.names...)
	if d := g.machines[full].log.Status().WritePending; d <= 0 {
		t.Fatalf("write pending for %v on a full disk", d)
	}
	disk.Full.Store(false)
	kerneltest.WaitUntil(t, 5*time.Second, "the pending write", func() bool { return g.machines[full].log.Status().WritePending == 0 })
	g.stop[others[0]]()
	delete(g.machines, others[0])
	g.propose(full, "4")
	g.waitApplied("1,2,3,4", full, others[1])
}
