package e2e

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	restartCount = flag.Int("e2e.restarts", 3, "number of restarts of all control instances, one seed each")
	restartFirst = flag.Uint64("e2e.first", 1, "seed of the first restart")
)

// maxRestartPause bounds the pauses between the starts of the control instances.
const maxRestartPause = 400 * time.Millisecond

// Guards against a group whose members all run and that elects nobody after all of them were killed:
// they start in any order, with any pauses, while the nodes reconnect, and a change must be decided
// within the time that SubmitChange allows.
func TestSeededRestartsOfAllControlInstances(t *testing.T) {
	f := startFleet(t, false)
	version := f.makeChange()
	slowest := time.Duration(0)
	for seed := *restartFirst; seed < *restartFirst+uint64(*restartCount); seed++ {
		rng := rand.New(rand.NewPCG(seed, 17))
		for _, p := range f.Controls {
			p.Kill()
		}
		for _, i := range rng.Perm(len(f.Controls)) {
			time.Sleep(time.Duration(rng.Int64N(int64(maxRestartPause))))
			f.Controls[i].Start()
		}
		begin := time.Now()
		next := f.makeChange()
		if next != version+1 {
			t.Fatalf("seed %d: version %d after %d", seed, next, version)
		}
		version = next
		slowest = max(slowest, time.Since(begin))
	}
	f.waitForVersion(version, f.Nodes)
	t.Logf("%d restarts, slowest decision after %v", *restartCount, slowest)
}
