package kernel

import "time"

// stopMargin is the part of a planned stop that is left for sending the last responses.
const stopMargin = 200 * time.Millisecond

// maxRunFactor is the multiple of its mean duration that work is expected to take at most during a planned stop.
const maxRunFactor = 2.5

// lateStartFraction is the fraction of a planned stop that is left at least after the latest start of work. Without a
// bound, work that usually takes longer than a stop would have no time to wait at all.
const lateStartFraction = 0.5

// StopSchedule tells how a planned stop proceeds.
type StopSchedule struct {
	// Start is when the stop begins.
	Start time.Time
	// DrainEnd is the end of the drain time. Callers that follow the readiness of the process have
	// left by then.
	DrainEnd time.Time
	// Deadline is when the process exits at the latest, whatever is still in progress.
	Deadline time.Time
}

func newStopSchedule(start time.Time, i *Instance) StopSchedule {
	return StopSchedule{Start: start, DrainEnd: start.Add(i.DrainTime.AsDuration()), Deadline: start.Add(i.maxStopTime())}
}

// Fits reports whether work that ends at the given time can still be answered before the process
// exits.
func (s StopSchedule) Fits(end time.Time) bool { return end.Add(stopMargin).Before(s.Deadline) }

// ExpectedEnd returns when work that starts at the given time is expected to have ended. mean is the mean duration of
// such work.
func (s StopSchedule) ExpectedEnd(start time.Time, mean time.Duration) time.Time {
	return start.Add(time.Duration(maxRunFactor * float64(mean)))
}

// LatestStart returns the time from which work with the given deadline must not start any more, because it is not
// expected to end before the process exits. mean is its mean duration; 0 if unknown.
func (s StopSchedule) LatestStart(deadline time.Time, mean time.Duration) time.Time {
	if s.Fits(deadline) {
		return deadline
	}
	longest := time.Duration(lateStartFraction * float64(s.Deadline.Sub(s.Start)))
	if mean > 0 {
		longest = min(longest, time.Duration(maxRunFactor*float64(mean)))
	}
	return s.Deadline.Add(-stopMargin - longest)
}
