package inbound

import "time"

const (
	// linkUseFraction is the fraction of the link that large request bodies may use. The rest is for
	// responses, short calls and the control traffic.
	linkUseFraction = 0.8
	// assumedBodyBytes is the assumed length of a body of unknown length.
	assumedBodyBytes = 64 << 10
	// Fractions of the route's target latency that receiving the body may take, together with the
	// bodies that are already being received: always, and at most if the call may wait for that long.
	transferFraction, maxTransferFraction = 0.25, 0.5
)

// transfers decides which calls with large bodies this node receives. Bodies that together need more
// than the link would all arrive late, and delay everything else on the link. It is not safe for
// concurrent use.
type transfers struct {
	// bytesPerSecond is the capacity of the link; 0 if unknown, in which case all bodies are received.
	bytesPerSecond float64
	// pending is the number of bytes of the bodies that are being received.
	pending int64
}

// begin reports whether a body of the given length can be received within limit, and if so counts it
// as pending. The length is -1 if it is unknown. counted is to be passed to end.
func (t *transfers) begin(length int64, limit time.Duration) (counted int64, ok bool) {
	if length < 0 {
		length = assumedBodyBytes
	}
	if t.bytesPerSecond > 0 && t.pending > 0 && t.duration(t.pending+length) > limit {
		return 0, false
	}
	if t.bytesPerSecond > 0 && t.pending == 0 && t.duration(length) > 2*limit {
		return 0, false // even alone on the link, the body arrives too late
	}
	t.pending += length
	return length, true
}

// end removes a received or abandoned body from the pending ones.
func (t *transfers) end(counted int64) { t.pending -= counted }

func (t *transfers) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / (linkUseFraction * t.bytesPerSecond) * float64(time.Second))
}

// transferLimit returns the time within which the body of a call must be receivable. A call without a
// target latency has half of its remaining time.
func transferLimit(target, remainingWait, remaining time.Duration) time.Duration {
	if target <= 0 {
		return remaining / 2
	}
	limit := time.Duration(transferFraction * float64(target))
	return min(limit+min(max(remainingWait, 0), limit), time.Duration(maxTransferFraction*float64(target)), remaining/2)
}
