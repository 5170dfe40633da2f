package e2e

import (
	"os"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/test/harness"
)

// at returns the operators' command for one control instance alone.
func at(f *harness.Fleet, control int, args ...string) []string {
	return append([]string{"--server", f.Plan.Controls[control].Operators, "--timeout", "4s"}, args...)
}

// Guards against an isolated control instance that accepts a change, and against
// a change whose outcome was unknown and that is decided twice.
func TestIsolatedInstanceAcceptsNothing(t *testing.T) {
	f, d := started(t, true)
	d.o.Stop()
	const isolated = 2
	f.Partition(f.Plan.Controls[isolated].Zone)
	service := demoServices()[2]
	put := service
	put.Name = "second-" + service.Name
	args := at(f, isolated, "team", "put", "--id", "isolated-1", f.File("isolated.json", layout.Team(put, 5000, nil)))
	if out, code := f.CommandAt(service.Organisation, args...); code != kernel.ExitUndecided {
		t.Errorf("the isolated instance gave exit code %d: %s", code, out)
	}
	f.Heal(f.Plan.Controls[isolated].Zone)
	// A resend is decided; whether the first attempt took effect is the same to
	// the operator, because the answer is kept under the ID.
	first, code := f.CommandAt(service.Organisation, at(f, 0, args[4:]...)...)
	if code != kernel.ExitOK {
		t.Fatalf("resend after the partition: exit code %d: %s", code, first)
	}
	again, code := f.CommandAt(service.Organisation, at(f, 1, args[4:]...)...)
	if code != kernel.ExitOK || harness.Field(again, "version") != harness.Field(first, "version") || harness.Field(first, "version") == 0 {
		t.Errorf("second resend: exit code %d, %s; first %s", code, again, first)
	}
}

// Guards against accepted changes that are lost when all control instances die
// at once, and against calls that fail while there is none.
func TestAllControlInstancesDieAndReturn(t *testing.T) {
	f, d := started(t, false)
	d.quietChanges(4)
	done := background(f, "no-control", f.Callers(), f.Reports(), nil)
	for _, p := range f.Controls {
		p.Kill()
	}
	time.Sleep(2 * time.Second)
	for _, p := range f.Controls {
		p.Start()
	}
	harness.WaitReady(t, 20*time.Second, f.Controls...)
	// The next change names the revision accepted before; it is refused when that
	// was lost.
	d.quietChanges(4)
	r := <-done
	kept(t, r)
	if r.Succeeded != r.Calls {
		t.Errorf("%d of %d calls failed without control instances: %v", r.Calls-r.Succeeded, r.Calls, r.Outcomes)
	}
	d.o.Stop()
	if list := d.o.Backwards(); len(list) > 0 {
		t.Errorf("I1: nodes went back to an older version: %v", list)
	}
}

// Guards against a group that cannot replace a lost disk, or that loses accepted
// changes when a second instance is lost right after the first was repaired.
func TestSecondLossAfterRepair(t *testing.T) {
	f, d := started(t, false)
	d.quietChanges(2)
	first, second := f.Controls[0], f.Controls[1]
	first.Kill()
	folder := f.Plan.Controls[0].Settings["instance"].(map[string]any)["data_folder"].(string)
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	d.quietChanges(2)
	first.Start()
	harness.Wait(t, 30*time.Second, "the replaced instance has a vote", func() bool { return f.Votes(0) })
	second.Kill()
	d.quietChanges(2)
	second.Start()
	harness.WaitReady(t, 20*time.Second, f.Controls...)
	d.quietChanges(2)
	d.o.Stop()
	if list := d.o.Backwards(); len(list) > 0 {
		t.Errorf("I1: nodes went back to an older version: %v", list)
	}
}
