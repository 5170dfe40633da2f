package outbound

import "time"

// budgetBuckets is the number of parts of the window; a retry is forgotten up to
// one part later than the window says, never earlier.
const budgetBuckets = 10

// budgetMargin is the part of the permitted retries that is used. The rest covers
// nodes whose view of the fleet's size differs, and the calls that an upstream
// makes while it runs a retry, which count as retries at the services it calls.
const budgetMargin = 0.8

// Allowance bounds the retries of one cluster over a sliding window.
type Allowance struct {
	// Ratio is the number of retries for each call.
	Ratio float64
	// Least is the number of retries that are always there in each window.
	Least  float64
	Window time.Duration
}

// budget counts the calls and retries of one cluster by parts of the window.
type budget struct {
	calls, retries [budgetBuckets + 1]int
	// at is the number of the newest part.
	at int64
}

// turn empties the parts that have left the window.
func (b *budget) turn(a Allowance, now time.Time) {
	at := now.UnixNano() / max(int64(a.Window)/budgetBuckets, 1)
	if at-b.at > budgetBuckets || b.at == 0 {
		*b = budget{at: at}
		return
	}
	for b.at < at {
		b.at++
		i := b.at % (budgetBuckets + 1)
		b.calls[i], b.retries[i] = 0, 0
	}
}

// call counts one call.
func (b *budget) call(a Allowance, now time.Time) {
	b.turn(a, now)
	b.calls[b.at%(budgetBuckets+1)]++
}

// retry takes one retry and reports whether there was one.
func (b *budget) retry(a Allowance, now time.Time) bool {
	b.turn(a, now)
	calls, retries := 0, 0
	for i := range b.calls {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > a.Least+a.Ratio*float64(calls) {
		return false
	}
	b.retries[b.at%(budgetBuckets+1)]++
	return true
}
