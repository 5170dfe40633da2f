package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxServiceFactor is the maximum random service time, as a multiple of the mean. It keeps a single
// call from outlasting a test.
const maxServiceFactor = 20

// Draw returns a random service time, which is never negative.
func (s ServiceTime) Draw(rng *rand.Rand) time.Duration {
	factor := 1.0
	switch s.Distribution {
	case "uniform":
		factor = 0.5 + rng.Float64()
	case "exponential":
		factor = rng.ExpFloat64()
	case "lognormal":
		// exp(N(-1/2, 1)) has the mean 1.
		factor = math.Exp(rng.NormFloat64() - 0.5)
	}
	return time.Duration(float64(s.Mean) * min(factor, maxServiceFactor))
}

// Slowdown returns the factor by which the service time is multiplied when the stand-in has run for
// age. The factor falls linearly from Factor to 1.
func (c ColdStart) Slowdown(age time.Duration) float64 {
	if c.Slow <= 0 || age >= c.Slow.AsDuration() {
		return 1
	}
	return c.Factor - (c.Factor-1)*float64(age)/float64(c.Slow)
}

// Fault is a fault injected into a call. The zero value injects none.
type Fault struct {
	// Delay is added to the service time.
	Delay time.Duration
	// Status replaces the status code 200 after the execution; 0 keeps it.
	Status int
	// Shed answers the call with status 503 without executing it.
	Shed bool
	// Hang executes the call and never answers it.
	Hang bool
	// Cut closes the connection after CutAfter bytes of the answer's body.
	Cut bool
	// CutAfter is the number of bytes that Cut leaves of the answer's body.
	CutAfter int
}

// ParseFault parses a fault: "delay=50ms", "status=500", "shed", "hang" or "cut=100", or several of
// them separated by commas.
func ParseFault(text string) (Fault, error) {
	var f Fault
	if text == "" {
		return f, nil
	}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch name {
		case "delay":
			f.Delay, err = time.ParseDuration(value)
		case "status":
			f.Status, err = strconv.Atoi(value)
			if err == nil && (f.Status < 200 || f.Status > 599) {
				err = errors.Newf("%d is outside 200..599", f.Status)
			}
		case "cut":
			f.Cut = true
			f.CutAfter, err = strconv.Atoi(value)
		case "shed":
			f.Shed = true
		case "hang":
			f.Hang = true
		default:
			err = errors.New("unknown fault")
		}
		if err != nil {
			return Fault{}, errors.Wrapf(err, "fault %q", part)
		}
	}
	return f, nil
}

// chooseFault returns the fault to inject into a call: the requested one or, if none is requested,
// one chosen at random from shares according to their percentages.
func chooseFault(requested string, shares []FaultShare, rng *rand.Rand) (Fault, error) {
	if requested != "" {
		return ParseFault(requested)
	}
	at := rng.Float64() * 100
	for _, s := range shares {
		if at < s.Percent {
			return ParseFault(s.Fault)
		}
		at -= s.Percent
	}
	return Fault{}, nil
}

// delayedValue reports a value with a delay. It keeps two samples that were taken at least lag apart
// and reports the older one. Until the second sample is taken, it reports the first one.
type delayedValue struct {
	// lag is the minimum time between two samples; 0 reports the current value.
	lag time.Duration
	// updatedAt is the time of the latest sample.
	updatedAt        time.Time
	reported, latest float64
}

// observe takes a sample of the actual value, if one is due, and returns the value to report.
func (l *delayedValue) observe(now time.Time, actual float64) float64 {
	if l.lag <= 0 {
		return actual
	}
	if l.updatedAt.IsZero() {
		l.updatedAt, l.reported, l.latest = now, actual, actual
	}
	if now.Sub(l.updatedAt) >= l.lag {
		l.updatedAt, l.reported, l.latest = now, l.latest, actual
	}
	return l.reported
}

// executionCounts counts executions by call ID.
type executionCounts struct {
	// max is the maximum number of IDs in counts.
	max int
	// totalExecutions counts all executions.
	totalExecutions int
	// unlistedExecutions counts the executions of calls whose IDs are not in counts because
	// max was reached.
	unlistedExecutions int
	counts             map[string]int
	// duplicates holds the entries of counts that are above 1.
	duplicates map[string]int
}

func newExecutionCounts(maxIDs int) *executionCounts {
	return &executionCounts{max: maxIDs, counts: map[string]int{}, duplicates: map[string]int{}}
}

// add counts one execution of the call with the given ID. If counts is full, an execution of a call
// with a new ID is counted only in totalExecutions and unlistedExecutions.
func (e *executionCounts) add(id string) {
	e.totalExecutions++
	n, known := e.counts[id]
	if !known && len(e.counts) >= e.max {
		e.unlistedExecutions++
		return
	}
	e.counts[id] = n + 1
	if n > 0 {
		e.duplicates[id] = n + 1
	}
}

// fieldPath returns the settings path of a field in element i of a list, such as "faults/0/percent".
func fieldPath(listName string, i int, fieldName string) string {
	return fmt.Sprintf("%s/%d/%s", listName, i, fieldName)
}
