package experiment

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

func init() { registerScenario("log-cost", measureLogCost) }

// Loads of the scenario log-cost, in multiples of overloadCallsPerSecond.
const (
	usualLoadFactor = 0.6
	floodLoadFactor = 4.0
)

// stalledWriteTime is the time that each write to a stallingWriter takes.
const stalledWriteTime = 2 * time.Second

// stallingWriter discards its input slowly, like a pipe with a slow reader.
type stallingWriter struct{}

func (stallingWriter) Write(p []byte) (int, error) {
	time.Sleep(stalledWriteTime)
	return len(p), nil
}

// measureLogCost runs the same load with logs off, with logs on, and with logs on and an output that
// stalls. For each it reports the processor time, the share of successful calls and the volume of
// the logs.
func measureLogCost(e *env) error {
	variants := []struct {
		name   string
		level  string
		output io.Writer
	}{
		{"logs off", "error", io.Discard}, {"logs on", "info", io.Discard}, {"logs on, output stalls", "info", stallingWriter{}},
	}
	for _, loadFactor := range []float64{usualLoadFactor, floodLoadFactor} {
		for _, v := range variants {
			err := e.measureLoggedLoad(loadFactor, v.name, fleetOptions{logLevel: v.level, logOutput: v.output})
			if err != nil {
				return errors.Wrapf(err, "%s at %g times the slots", v.name, loadFactor)
			}
		}
	}
	return nil
}

// measureLoggedLoad starts a fleet with the given options, runs one load and reports its figures.
func (e *env) measureLoggedLoad(loadFactor float64, variant string, o fleetOptions) (err error) {
	f, err := newOverloadFleet(e, o)
	defer func() { err = errors.CombineErrors(err, f.stop()) }()
	if err != nil {
		return err
	}
	lines, bytes, dropped := f.logVolume()
	before, err := readUsage()
	if err != nil {
		return err
	}
	r, err := f.offerLoad(loadFactor, false)
	if err != nil {
		return err
	}
	after, err := readUsage()
	if err != nil {
		return err
	}
	linesAfter, bytesAfter, droppedAfter := f.logVolume()
	caseName, calls := fmt.Sprintf("%g times the slots", loadFactor), float64(r.Calls)
	e.addFigure(caseName, variant, "processor time a call, all processes", float64((after.cpuTime-before.cpuTime).Microseconds())/calls, "us", 0, r.Calls)
	e.addFigure(caseName, variant, "lines a call", (linesAfter-lines)/calls, "", 0, r.Calls)
	e.addFigure(caseName, variant, "bytes a call", (bytesAfter-bytes)/calls, "B", 0, r.Calls)
	e.addFigure(caseName, variant, "lines dropped", droppedAfter-dropped, "", 0, r.Calls)
	e.addFigure(caseName, variant, "calls succeeded", percent(r.Succeeded, r.Calls), "%", 0, r.Calls)
	return nil
}

// logVolume returns the number of lines and bytes that all processes have logged so far, and the
// number of lines that they have dropped.
func (f *fleet) logVolume() (lines, bytes, dropped float64) {
	for _, w := range f.logWriters {
		l, b, d := w.Counts()
		lines, bytes, dropped = lines+float64(l), bytes+float64(b), dropped+float64(d)
	}
	return lines, bytes, dropped
}
