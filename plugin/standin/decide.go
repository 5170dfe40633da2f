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

// maxServiceFactor bounds a drawn service time to that multiple of the mean, so
// that a single draw cannot outlast a test.
const maxServiceFactor = 20

// Draw returns a service time. It is never negative.
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

// Slowdown returns the factor by which calls take longer at the given age.
func (c ColdStart) Slowdown(age time.Duration) float64 {
	if c.Slow <= 0 || age >= c.Slow.D() {
		return 1
	}
	return c.Factor - (c.Factor-1)*float64(age)/float64(c.Slow)
}

// Fault is what goes wrong with a call. The zero value is no fault.
type Fault struct {
	// Delay is added to the service time.
	Delay time.Duration
	// Status replaces 200 after the execution; 0 keeps it.
	Status int
	// Shed answers 503 without execution.
	Shed bool
	// Hang executes the call and never answers it.
	Hang bool
	// Cut ends the connection after CutAfter bytes of the answer's body.
	Cut      bool
	CutAfter int
}

// ParseFault parses a fault: "delay=50ms", "status=500", "shed", "hang",
// "cut=100", or several joined by commas.
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

// chooseFault returns the fault of a call: the one that it asks for, or one
// drawn from the shares.
func chooseFault(asked string, shares []FaultShare, rng *rand.Rand) (Fault, error) {
	if asked != "" {
		return ParseFault(asked)
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

// lagged keeps a value and gives out the one before, so that what it returns is
// at least lag old.
type lagged struct {
	lag      time.Duration
	at       time.Time
	old, cur float64
}

// read takes the actual value and returns the reported one.
func (l *lagged) read(now time.Time, actual float64) float64 {
	if l.lag <= 0 {
		return actual
	}
	if l.at.IsZero() {
		l.at, l.old, l.cur = now, actual, actual
	}
	if now.Sub(l.at) >= l.lag {
		l.at, l.old, l.cur = now, l.cur, actual
	}
	return l.old
}

// executions counts executed calls by ID.
type executions struct {
	max        int
	total      int
	unlisted   int
	counts     map[string]int
	duplicates map[string]int
}

func newExecutions(limit int) *executions {
	return &executions{max: limit, counts: map[string]int{}, duplicates: map[string]int{}}
}

// add counts one execution. An ID beyond the bound is counted in total only.
func (e *executions) add(id string) {
	e.total++
	n, known := e.counts[id]
	if !known && len(e.counts) >= e.max {
		e.unlisted++
		return
	}
	e.counts[id] = n + 1
	if n > 0 {
		e.duplicates[id] = n + 1
	}
}

func fieldAt(list string, i int, name string) string { return fmt.Sprintf("%s/%d/%s", list, i, name) }
