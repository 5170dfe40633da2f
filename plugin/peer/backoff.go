package peer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Backoff returns the pause before attempt n (0 is the first one after a
// failure): least doubled n times, at most most, drawn uniformly from the upper
// half. The random part spreads processes that lost their connections together.
func Backoff(n int, least, most time.Duration, rng *rand.Rand) time.Duration {
	d := most
	if n < 30 && least<<n < most {
		d = least << n
	}
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}

func field(list string, i int, name string) string { return fmt.Sprintf("%s/%d/%s", list, i, name) }
