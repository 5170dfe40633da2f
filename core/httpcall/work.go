package httpcall

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// NodeWork is what a node states about the work of its upstream. It is sent as a second value of HeaderLoad, which nodes of
// earlier versions ignore.
type NodeWork struct {
	// PerSlot is the expected remaining work of all running and waiting calls, divided by the slots.
	PerSlot time.Duration
	// Wait is the expected time until a further call would start.
	Wait time.Duration
	// SlowdownPercent is how long work takes at the moment, relative to the usual time at this upstream.
	SlowdownPercent int
	// Run is the time that the upstream has taken to run the answered call; 0 if it did not run.
	Run time.Duration
}

// maxSlowdownPercent bounds a slowdown that is believed.
const maxSlowdownPercent = 5000

// Encode returns the header value: milliseconds, but for the slowdown, separated by semicolons.
func (w NodeWork) Encode() string {
	b := strconv.AppendInt(make([]byte, 0, 24), w.PerSlot.Milliseconds(), 10)
	b = strconv.AppendInt(append(b, ';'), w.Wait.Milliseconds(), 10)
	b = strconv.AppendInt(append(b, ';'), int64(w.SlowdownPercent), 10)
	b = strconv.AppendInt(append(b, ';'), w.Run.Milliseconds(), 10)
	return string(b)
}

// ParseNodeWork reads the second value of HeaderLoad. It returns false if there is none or if it cannot be right. Further
// fields are ignored.
func ParseNodeWork(h http.Header) (NodeWork, bool) {
	values := h[HeaderLoad]
	if len(values) < 2 {
		return NodeWork{}, false
	}
	var f [4]time.Duration
	rest := values[1]
	for i := range f {
		text, more, found := strings.Cut(rest, ";")
		if !found && i < len(f)-1 {
			return NodeWork{}, false
		}
		var err error
		if f[i], err = ParseTimeout(text); err != nil {
			return NodeWork{}, false
		}
		rest = more
	}
	percent := f[2].Milliseconds()
	if percent < 1 || percent > maxSlowdownPercent {
		return NodeWork{}, false
	}
	return NodeWork{PerSlot: f[0], Wait: f[1], SlowdownPercent: int(percent), Run: f[3]}, true
}
