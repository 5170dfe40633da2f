package peer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Backoff returns the pause before a retry; attempt is 0 for the first retry after a failure. The
// longest pause is minDelay for the first retry and doubles with each further one, up to maxDelay;
// the returned pause is random, between half of the longest one and all of it. The jitter spreads the
// retries of processes that lost their connections at the same time.
func Backoff(attempt int, minDelay, maxDelay time.Duration, rng *rand.Rand) time.Duration {
	d := maxDelay
	if attempt < 30 && minDelay<<attempt < maxDelay {
		d = minDelay << attempt
	}
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}

// fieldPath returns the path of a field of element i of a list in the settings, such as
// "instances/0/address", for errors.
func fieldPath(listName string, i int, fieldName string) string {
	return fmt.Sprintf("%s/%d/%s", listName, i, fieldName)
}
