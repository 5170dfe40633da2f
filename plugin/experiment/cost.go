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

func init() { register("node-cost", nodeCost) }

// Targets of section 1.7 of the design, for each node.
const (
	cpuTarget    = 1.8 // percent of a core
	memoryTarget = 64  // MB
)

// changesPerDay is the stated rate of changes.
const changesPerDay = 9600

// usage is what this process has used so far.
type usage struct {
	cpu    time.Duration
	memory float64 // MB, resident
	files  int
}

// nodeCost measures what each further node costs this process, from the
// difference between fleets of different sizes. It contains the share of the
// control instances, which run in the same process.
func nodeCost(e *env) error {
	type point struct {
		nodes               float64
		idle, busy, mem, fd float64
	}
	var points []point
	for _, n := range e.s.Nodes {
		f, err := newFleet(e, fleetOptions{nodes: n})
		if err != nil {
			_ = f.stop()
			return err
		}
		p := point{nodes: float64(n)}
		p.idle, err = f.cpuShare(func() error { return e.sleep(e.s.Duration.D()) })
		if err == nil {
			p.busy, err = f.cpuShare(f.busy)
		}
		if err == nil {
			debug.FreeOSMemory()
			var u usage
			u, err = now()
			p.mem, p.fd = u.memory, float64(u.files)
		}
		if err = errors.CombineErrors(err, f.stop()); err != nil {
			return err
		}
		points = append(points, p)
	}
	if len(points) < 2 {
		return errors.New("two sizes of the fleet are needed for a slope")
	}
	a, b := points[0], points[len(points)-1]
	slope := func(x, y float64) float64 { return (y - x) / (b.nodes - a.nodes) }
	kase, n := fmt.Sprintf("slope from %g to %g nodes", a.nodes, b.nodes), len(points)
	e.add(kase, "idle", "processor share per node", slope(a.idle, b.idle), "% of a core", cpuTarget, n)
	e.add(kase, "changes and endpoint events", "processor share per node", slope(a.busy, b.busy), "% of a core", cpuTarget, n)
	e.add(kase, "after the load", "resident memory per node", slope(a.mem, b.mem), "MB", memoryTarget, n)
	e.add(kase, "after the load", "file descriptors per node, both ends", slope(a.fd, b.fd), "", 0, n)
	return nil
}

// busy makes changes at ten times the stated rate and 5 endpoint events a second.
func (f *fleet) busy() error {
	ctx, cancel := context.WithTimeout(f.e.ctx, f.e.s.Duration.D())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		f.churn(ctx, 5, func() {})
		close(stopped)
	}()
	defer func() { <-stopped }()
	pause := 24 * time.Hour / (10 * changesPerDay)
	for i := 0; ctx.Err() == nil; i++ {
		if _, err := f.change(i); err != nil {
			return err
		}
		if err := f.e.sleep(pause); err != nil {
			return err
		}
	}
	return nil
}

// cpuShare returns the processor share of work in percent of one core.
func (f *fleet) cpuShare(work func() error) (float64, error) {
	before, err := now()
	if err != nil {
		return 0, err
	}
	started := time.Now()
	if err := work(); err != nil {
		return 0, err
	}
	after, err := now()
	return 100 * (after.cpu - before.cpu).Seconds() / time.Since(started).Seconds(), err
}

// now reads the usage of this process.
func now() (usage, error) {
	var u usage
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, errors.Wrap(err, "usage of the process")
	}
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return u, err
	}
	if f := strings.Fields(string(text)); len(f) > 1 {
		pages, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return u, err
		}
		u.memory = pages * float64(os.Getpagesize()) / (1 << 20)
	}
	files, err := os.ReadDir("/proc/self/fd")
	u.files = len(files)
	return u, err
}
