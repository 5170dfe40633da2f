package outbound

import "time"

// Constants of the retry budget.
const (
	// budgetLeast is the number of retries that are always there at rest, and
	// budgetRate how many of them come back in a second.
	budgetLeast = 10
	budgetRate  = 1
	// budgetMost bounds what quiet times save up.
	budgetMost = 100
)

// budget bounds the retries of one cluster to a share of its calls.
type budget struct {
	tokens float64
	at     time.Time
}

// call adds the share of one call.
func (b *budget) call(percent int, now time.Time) {
	if b.at.IsZero() {
		b.tokens, b.at = budgetLeast, now
	}
	if b.tokens < budgetLeast {
		b.tokens = min(budgetLeast, b.tokens+budgetRate*now.Sub(b.at).Seconds())
	}
	b.at = now
	b.tokens = min(budgetMost, b.tokens+float64(percent)/100)
}

// retry takes one retry and reports whether there was one.
func (b *budget) retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
