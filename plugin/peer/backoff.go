package peer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Backoff returns the pause before a retry; attempt is 0 for the first one after a failure. It
// doubles minDelay with each attempt up to maxDelay and returns a random value between half of
// the result and the result. The jitter spreads the retries of processes that lost their
// connections at the same time.
func Backoff(attempt int, minDelay, maxDelay time.Duration, rng *rand.Rand) time.Duration {
	d := maxDelay
	if attempt < 30 && minDelay<<attempt < maxDelay {
		d = minDelay << attempt
	}
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}

// fieldPath returns the path of a field of a list element, as used in errors of settings.
func fieldPath(list string, i int, name string) string { return fmt.Sprintf("%s/%d/%s", list, i, name) }
