package limiter

import (
	"math"
	"time"
)

// Time constants of the demand of a team: the fast one follows a shift of clients within a second, the slow one is steady
// enough for an offline rate.
const fastTime, slowTime = 700 * time.Millisecond, 3 * time.Second

// meter is an exponentially decaying rate per second. All calls use one time constant.
type meter struct {
	rate float64
	at   time.Duration
}

func (m *meter) read(now, timeConstant time.Duration) float64 {
	if now > m.at {
		m.rate *= math.Exp(-float64(now-m.at) / float64(timeConstant))
		m.at = now
	}
	return m.rate
}

// add counts one event at now.
func (m *meter) add(now, timeConstant time.Duration) {
	m.read(now, timeConstant)
	m.rate += 1 / timeConstant.Seconds()
}
