package distribution

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// Guards against an instance that tells its nodes that they are current while it has entries that it has
// not applied, or without the word of a majority.
func TestCurrencyNeedsAnAppliedAndConfirmedLog(t *testing.T) {
	at := time.Unix(1000, 0)
	var c currency
	if c.message(at) != nil {
		t.Error("an instance that knows nothing makes a statement")
	}
	c.observe(api.QuorumStatus{Commit: 7, Applied: 7}, 3) // never confirmed
	c.observe(api.QuorumStatus{Commit: 7, Applied: 6, Confirmed: at}, 3)
	c.observe(api.QuorumStatus{Commit: 7, Applied: 7, Confirmed: at}, 0) // no configuration yet
	if m := c.message(at); m != nil {
		t.Errorf("statement %+v without proof", m)
	}
	c.observe(api.QuorumStatus{Commit: 7, Applied: 7, Confirmed: at}, 3)
	c.observe(api.QuorumStatus{Commit: 9, Applied: 8, Confirmed: at.Add(time.Second)}, 4) // behind again
	if m := c.message(at.Add(1500 * time.Millisecond)); m == nil || m.Version != 3 || m.AgeMillis < 1500 {
		t.Errorf("statement %+v, want version 3 of 1.5 s ago", m)
	}
}

// Guards against nodes that stay with an instance whose log is confirmed, but which does not apply what it receives.
func TestInstanceThatDoesNotApplyIsIsolated(t *testing.T) {
	f := newFleet(t, "z")
	a := f.startControl(0, `, "distribution": {"isolated_after": "100ms", "converge_within": "400ms"}`)
	a.catalog.put("lectura", "catalogo", 1000)
	if isolated, _ := a.distribution.assessContact(time.Now()); isolated {
		t.Fatal("a healthy instance counts as isolated")
	}
	a.log.setUnapplied(1)
	kerneltest.WaitUntil(t, waitTimeout, "isolation", func() bool {
		isolated, _ := a.distribution.assessContact(time.Now())
		return isolated
	})
	a.log.setUnapplied(0)
	if isolated, _ := a.distribution.assessContact(time.Now()); isolated {
		t.Error("the instance counts as isolated although it has applied its log")
	}
}
