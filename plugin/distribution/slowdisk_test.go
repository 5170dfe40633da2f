package distribution

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// Guards against nodes that serve an old configuration for longer than a change may take, because the disk
// of their control instance is slow and the instance releases the version late.
func TestNodesLeaveAnInstanceWithASlowDisk(t *testing.T) {
	f := newFleet(t, "z", "y")
	const extra = `, "distribution": {"isolated_after": "1200ms", "converge_within": "2s"}`
	a, b := f.startControl(0, extra), f.startControl(1, extra)
	a.catalog.put("lectura", "catalogo", 1000)
	b.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "z", "", allServices, `, "ping_interval": "500ms", "ping_timeout": "1s", "home_retry": "10s"`)
	kerneltest.WaitUntil(t, waitTimeout, "first version", func() bool { return n.version() == 1 })
	slow, healthy := a, b
	if b.distribution.localStatus().Nodes == 1 {
		slow, healthy = b, a
	}
	const writeTime = 900 * time.Millisecond
	slow.log.setWriteTime(writeTime)
	acknowledged := time.Now()
	healthy.catalog.put("lectura", "catalogo", 2000)
	time.AfterFunc(2*writeTime, func() { slow.catalog.put("lectura", "catalogo", 2000) }) // the write in progress and the log entry
	const bound = 2 * time.Second
	for n.version() < 2 {
		if time.Since(acknowledged) > bound {
			t.Fatalf("node serves version %d %v after version 2 was acknowledged", n.version(), bound)
		}
		time.Sleep(5 * time.Millisecond)
	}
	slow.log.setWriteTime(0)
	if isolated, _ := slow.distribution.assessContact(time.Now()); isolated {
		t.Error("the instance counts as isolated although its disk is fast again")
	}
}
