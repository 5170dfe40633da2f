package experiment

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

func init() { registerScenario("node-cost", measureNodeCost) }

// Targets from section 1.7 of the design, for each node.
const (
	cpuTargetPercent = 1.8 // of a core
	memoryTargetMB   = 64  // resident
)

// changesPerDay is the number of configuration changes a day from section 1.7 of the design.
const changesPerDay = 9600

// processUsage is the resource usage of this process.
type processUsage struct {
	cpuTime   time.Duration
	memoryMB  float64 // resident
	openFiles int
}

// measureNodeCost measures the resources that each additional node uses, from the difference
// between fleets of different sizes. The result includes the additional work of the control
// instances, which run in the same process.
func measureNodeCost(e *env) error {
	type sample struct {
		nodes               float64
		idle, busy, mem, fd float64
	}
	var samples []sample
	for _, n := range e.s.Nodes {
		f, err := newFleet(e, fleetOptions{nodes: n})
		if err != nil {
			_ = f.stop()
			return err
		}
		measured := sample{nodes: float64(n)}
		measured.idle, err = f.measureCPUPercent(func() error { return e.sleep(e.s.Duration.AsDuration()) })
		if err == nil {
			measured.busy, err = f.measureCPUPercent(f.applyControlLoad)
		}
		if err == nil {
			debug.FreeOSMemory()
			var u processUsage
			u, err = readUsage()
			measured.mem, measured.fd = u.memoryMB, float64(u.openFiles)
		}
		if err = errors.CombineErrors(err, f.stop()); err != nil {
			return err
		}
		samples = append(samples, measured)
	}
	if len(samples) < 2 {
		return errors.New("a slope needs at least two fleet sizes")
	}
	first, last := samples[0], samples[len(samples)-1]
	slope := func(x, y float64) float64 { return (y - x) / (last.nodes - first.nodes) }
	caseName, n := fmt.Sprintf("slope from %g to %g nodes", first.nodes, last.nodes), len(samples)
	e.addFigure(caseName, "idle", "processor share per node", slope(first.idle, last.idle), "% of a core", cpuTargetPercent, n)
	e.addFigure(caseName, "changes and endpoint events", "processor share per node", slope(first.busy, last.busy), "% of a core", cpuTargetPercent, n)
	e.addFigure(caseName, "after the load", "resident memory per node", slope(first.mem, last.mem), "MB", memoryTargetMB, n)
	e.addFigure(caseName, "after the load", "file descriptors per node, both ends", slope(first.fd, last.fd), "", 0, n)
	return nil
}

// applyControlLoad makes changes at ten times the rate of changesPerDay, and 5 endpoint events per
// second.
func (f *fleet) applyControlLoad() error {
	ctx, cancel := context.WithTimeout(f.e.ctx, f.e.s.Duration.AsDuration())
	defer cancel()
	churnDone := make(chan struct{})
	go func() {
		f.runEndpointChurn(ctx, 5, func() {})
		close(churnDone)
	}()
	defer func() { <-churnDone }()
	pause := 24 * time.Hour / (10 * changesPerDay)
	for i := 0; ctx.Err() == nil; i++ {
		if _, err := f.submitChange(i); err != nil {
			return err
		}
		if err := f.e.sleep(pause); err != nil {
			return err
		}
	}
	return nil
}

// measureCPUPercent runs work and returns the processor time that this process uses during it, in
// percent of one core.
func (f *fleet) measureCPUPercent(work func() error) (float64, error) {
	before, err := readUsage()
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if err := work(); err != nil {
		return 0, err
	}
	after, err := readUsage()
	return 100 * (after.cpuTime - before.cpuTime).Seconds() / time.Since(started).Seconds(), err
}

// readUsage returns the resource usage of this process so far.
func readUsage() (processUsage, error) {
	var u processUsage
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, errors.Wrap(err, "read the resource usage of the process")
	}
	u.cpuTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return u, err
	}
	if f := strings.Fields(string(text)); len(f) > 1 {
		pages, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return u, err
		}
		u.memoryMB = pages * float64(os.Getpagesize()) / (1 << 20)
	}
	files, err := os.ReadDir("/proc/self/fd")
	u.openFiles = len(files)
	return u, err
}
