package distribution

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/resource"
)

// zoneModel simulates a zone with two instances, which are partitioned at times, and the versions
// that its nodes served.
type zoneModel struct {
	committedVersion resource.Version // committed by the quorum
	instances        [2]*zoneModelInstance
	maxServed        resource.Version // highest version in force on a node of the zone
	lastID           uint64
}

type zoneModelInstance struct {
	admission                admission
	hasDisk                  bool
	version, releasedVersion resource.Version
	partitioned              bool
	// committedAtBarrier is the committed version at the start of the running linearizable read.
	// committedAtHello holds the committed version at the hello of each waiting node, by the ID of
	// the node's session.
	committedAtBarrier resource.Version
	committedAtHello   map[uint64]resource.Version
}

func (z *zoneModel) step(op int, secondInstance bool) (ok bool) {
	i := z.instances[0]
	if secondInstance {
		i = z.instances[1]
	}
	switch op {
	case 0:
		z.committedVersion++
	case 1:
		if !i.partitioned {
			i.version = z.committedVersion
		}
	case 2:
		i.partitioned = !i.partitioned
	case 3: // release and send to nodes that hold state
		i.releasedVersion = max(i.releasedVersion, i.version)
		z.maxServed = max(z.maxServed, i.releasedVersion)
	case 4: // nodes of the zone send a hello with the version that they hold
		i.admission.recordReportedVersion(z.maxServed)
	case 5:
		return z.restart(i)
	case 6:
		z.lastID++
		i.committedAtHello[z.lastID] = z.committedVersion
		if i.admission.addWaiting(z.lastID) {
			i.committedAtBarrier = z.committedVersion
		}
	case 7, 8:
		return z.finishBarrier(i)
	}
	return true
}

// restart discards all state that is not on the instance's disk.
func (z *zoneModel) restart(i *zoneModelInstance) bool {
	i.admission, i.committedAtHello = admission{}, map[uint64]resource.Version{}
	if !i.hasDisk {
		i.version, i.releasedVersion = 0, 0
		if !i.partitioned {
			i.version = z.committedVersion / 2 // an old snapshot without the log entries after it
		}
	}
	i.admission.releasedRecovered = i.releasedVersion > 0
	return true
}

// finishBarrier ends the running read and reports whether all admissions are permitted.
func (z *zoneModel) finishBarrier(i *zoneModelInstance) bool {
	if !i.admission.barrierRunning {
		return true
	}
	if !i.partitioned {
		i.version = max(i.version, i.committedAtBarrier)
	}
	v := i.admission.finishBarrier(!i.partitioned, i.version, i.releasedVersion)
	for _, id := range v.admitted {
		if !i.partitioned && v.minVersion < i.committedAtHello[id] {
			return false // the node could miss a change committed before its hello
		}
		if i.partitioned && (v.minVersion < i.releasedVersion || v.minVersion < i.admission.highestReportedVersion || i.version < v.minVersion || !i.hasDisk && !i.admission.barrierSucceeded) {
			return false
		}
		// An instance with a disk never admits below its own released version.
		if i.hasDisk && v.minVersion < i.releasedVersion {
			return false
		}
	}
	if i.admission.beginBarrier() {
		i.committedAtBarrier = z.committedVersion
	}
	return true
}

// Guards against a restarted node that is sent a version below one committed before its hello. If
// the instance is partitioned or restarted, the version must not be below the zone's lower bound.
func TestAdmissionKeepsTheLowerBound(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(40)
	params.MinSuccessfulTests = 3000
	props := gopter.NewProperties(params)
	props.Property("admission", prop.ForAllNoShrink(func(ops []int) bool {
		z := &zoneModel{}
		for k := range z.instances {
			z.instances[k] = &zoneModelInstance{hasDisk: k == 0, committedAtHello: map[uint64]resource.Version{}}
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

// Guards against a partitioned instance that admits nodes below a version reported by nodes of
// the zone, or that admits nodes after a restart without its disk.
func TestPartitionedInstanceAdmitsAtLowerBoundOnly(t *testing.T) {
	for _, tc := range []struct {
		name                      string
		durable, confirmed        bool
		version, released, report resource.Version
		admitted                  bool
	}{
		{"current", true, false, 8, 8, 8, true},
		{"behind a report", true, true, 8, 8, 9, false},
		{"behind its own released version", true, false, 7, 8, 0, false},
		{"restarted without disk", false, false, 8, 0, 0, false},
		{"restarted without disk, confirmed since", false, true, 8, 0, 8, true},
		{"empty", true, true, 0, 0, 0, false},
	} {
		a := admission{releasedRecovered: tc.durable, barrierSucceeded: tc.confirmed}
		a.recordReportedVersion(tc.report)
		a.addWaiting(1)
		v := a.finishBarrier(false, tc.version, tc.released)
		if got := len(v.admitted) == 1; got != tc.admitted || got == (v.reason != "") {
			t.Errorf("%s: admitted %v, reason %q", tc.name, got, v.reason)
		}
	}
}
