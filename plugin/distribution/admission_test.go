package distribution

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

// zone is one zone with two instances, one of them partitioned at times, and
// the versions that its nodes served.
type zone struct {
	head   resource.Version // committed by the quorum
	insts  [2]*zoneInstance
	served resource.Version // highest version in force on a node of the zone
	lastID uint64
}

type zoneInstance struct {
	a                 admission
	disk              bool
	version, released resource.Version
	cut               bool
	// begun holds the head at the start of the running read, hello that at each
	// waiting node's hello.
	begun resource.Version
	hello map[uint64]resource.Version
}

func (z *zone) step(op int, second bool) (ok bool) {
	i := z.insts[0]
	if second {
		i = z.insts[1]
	}
	switch op {
	case 0:
		z.head++
	case 1:
		if !i.cut {
			i.version = z.head
		}
	case 2:
		i.cut = !i.cut
	case 3: // release and serve to nodes that hold state
		i.released = max(i.released, i.version)
		z.served = max(z.served, i.released)
	case 4: // nodes of the zone say hello with the version that they hold
		i.a.report(z.served)
	case 5:
		return z.restart(i)
	case 6:
		z.lastID++
		i.hello[z.lastID] = z.head
		if i.a.wait(z.lastID) {
			i.begun = z.head
		}
	case 7, 8:
		return z.read(i)
	}
	return true
}

// restart loses everything that is not on the instance's disk.
func (z *zone) restart(i *zoneInstance) bool {
	i.a, i.hello = admission{}, map[uint64]resource.Version{}
	if !i.disk {
		i.version, i.released = 0, 0
		if !i.cut {
			i.version = z.head / 2 // an old snapshot, the rest of the log is missing
		}
	}
	i.a.durable = i.released > 0
	return true
}

// read ends the running read and checks every admission.
func (z *zone) read(i *zoneInstance) bool {
	if !i.a.running {
		return true
	}
	if !i.cut {
		i.version = max(i.version, i.begun)
	}
	v := i.a.read(!i.cut, i.version, i.released)
	for _, id := range v.admitted {
		if !i.cut && v.min < i.hello[id] {
			return false // a change committed before the hello could be missed
		}
		if i.cut && (v.min < i.released || v.min < i.a.bound || i.version < v.min || !i.disk && !i.a.confirmed) {
			return false
		}
		// An instance with a disk never admits below what it gave out itself.
		if i.disk && v.min < i.released {
			return false
		}
	}
	if i.a.begin() {
		i.begun = z.head
	}
	return true
}

// Guards against a restarted node that is given a version below one that was
// committed before its hello, or below the zone's lower bound when the instance
// is partitioned or restarted.
func TestAdmissionKeepsTheLowerBound(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(40)
	params.MinSuccessfulTests = 3000
	props := gopter.NewProperties(params)
	props.Property("admission", prop.ForAllNoShrink(func(ops []int) bool {
		z := &zone{}
		for k := range z.insts {
			z.insts[k] = &zoneInstance{disk: k == 0, hello: map[uint64]resource.Version{}}
		}
		for _, op := range ops {
			if !z.step(op%9, op >= 9) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(60, gen.IntRange(0, 17))))
	props.TestingRun(t)
}

// Guards against a partitioned instance that admits nodes below a version that
// the zone's nodes report, and against one that restarted without its disk.
func TestPartitionedAdmission(t *testing.T) {
	for _, tc := range []struct {
		name                      string
		durable, confirmed        bool
		version, released, report resource.Version
		admitted                  bool
	}{
		{"current", true, false, 8, 8, 8, true},
		{"behind a report", true, true, 8, 8, 9, false},
		{"behind its own floor", true, false, 7, 8, 0, false},
		{"restarted without disk", false, false, 8, 0, 0, false},
		{"restarted without disk, confirmed since", false, true, 8, 0, 8, true},
		{"empty", true, true, 0, 0, 0, false},
	} {
		a := admission{durable: tc.durable, confirmed: tc.confirmed}
		a.report(tc.report)
		a.wait(1)
		v := a.read(false, tc.version, tc.released)
		if got := len(v.admitted) == 1; got != tc.admitted || got == (v.reason != "") {
			t.Errorf("%s: admitted %v, reason %q", tc.name, got, v.reason)
		}
	}
}
