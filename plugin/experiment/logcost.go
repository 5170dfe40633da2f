package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

func init() { register("log-cost", logCost) }

// Loads of the scenario log-cost, in multiples of the slots.
const (
	usualLoad = 0.6
	floodLoad = 4.0
)

// slowWrite is how long the slow output takes for each write.
const slowWrite = 2 * time.Second

// slowOutput is an output that stalls, as a full pipe does.
type slowOutput struct{}

func (slowOutput) Write(p []byte) (int, error) {
	time.Sleep(slowWrite)
	return len(p), nil
}

// logCost compares the processor time and the failures of the same load with logs
// off, on, and on with an output that stalls, and reports the volume of the log.
func logCost(e *env) error {
	variants := []struct {
		name   string
		level  string
		output io.Writer
	}{
		{"logs off", "error", io.Discard}, {"logs on", "info", io.Discard}, {"logs on, output stalls", "info", slowOutput{}},
	}
	for _, times := range []float64{usualLoad, floodLoad} {
		for _, v := range variants {
			err := e.loggedLoad(times, v.name, fleetOptions{logLevel: v.level, logOutput: v.output})
			if err != nil {
				return errors.Wrapf(err, "%s at %g times the slots", v.name, times)
			}
		}
	}
	return nil
}

// loggedLoad runs one load on a fleet of its own.
func (e *env) loggedLoad(times float64, variant string, o fleetOptions) (err error) {
	f, err := overloadFleet(e, o)
	defer func() { err = errors.CombineErrors(err, f.stop()) }()
	if err != nil {
		return err
	}
	lines, bytes, dropped := f.logged()
	before, err := now()
	if err != nil {
		return err
	}
	r, err := f.offer(times, false)
	if err != nil {
		return err
	}
	after, err := now()
	if err != nil {
		return err
	}
	linesAfter, bytesAfter, droppedAfter := f.logged()
	kase, calls := fmt.Sprintf("%g times the slots", times), float64(r.Calls)
	e.add(kase, variant, "processor time a call, all processes", float64((after.cpu-before.cpu).Microseconds())/calls, "us", 0, r.Calls)
	e.add(kase, variant, "lines a call", (linesAfter-lines)/calls, "", 0, r.Calls)
	e.add(kase, variant, "bytes a call", (bytesAfter-bytes)/calls, "B", 0, r.Calls)
	e.add(kase, variant, "lines dropped", droppedAfter-dropped, "", 0, r.Calls)
	e.add(kase, variant, "calls succeeded", percent(r.Succeeded, r.Calls), "%", 0, r.Calls)
	return nil
}

// logged returns the volume that all processes wrote and the lines that they dropped.
func (f *fleet) logged() (lines, bytes, dropped float64) {
	for _, w := range f.logs {
		l, b, d := w.Counts()
		lines, bytes, dropped = lines+float64(l), bytes+float64(b), dropped+float64(d)
	}
	return lines, bytes, dropped
}
