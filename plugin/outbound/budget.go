package outbound

import "time"

// budgetBuckets is the number of buckets into which the window is divided. A retry counts for at
// least the length of the window, and for at most one bucket longer.
const budgetBuckets = 10

// budgetUseFraction is the fraction of the permitted retries that nodes use. The rest is a margin
// for two effects: some nodes see a different fleet size, and repeats that run at the same time make calls
// after the budgets of the called clusters were asked.
const budgetUseFraction = 0.8

// Allowance bounds the retries of one cluster over a sliding window.
type Allowance struct {
	// Ratio is the number of permitted retries per call.
	Ratio float64
	// MinRetries is the number of retries that each window permits in addition, whatever the number
	// of calls.
	MinRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// retryBudget counts the calls and retries of one cluster in buckets of a sliding window.
type retryBudget struct {
	calls, retries [budgetBuckets + 1]int
	// newestBucket is the number of the current bucket, counted from the Unix epoch. Its index in the
	// arrays is this number modulo their length.
	newestBucket int64
}

// advance makes the bucket of the time now the newest one and clears the buckets that are outside
// the window.
func (b *retryBudget) advance(a Allowance, now time.Time) {
	at := now.UnixNano() / max(int64(a.Window)/budgetBuckets, 1)
	if at-b.newestBucket > budgetBuckets || b.newestBucket == 0 {
		*b = retryBudget{newestBucket: at}
		return
	}
	for b.newestBucket < at {
		b.newestBucket++
		i := b.newestBucket % (budgetBuckets + 1)
		b.calls[i], b.retries[i] = 0, 0
	}
}

// addCall counts one call.
func (b *retryBudget) addCall(a Allowance, now time.Time) {
	b.advance(a, now)
	b.calls[b.newestBucket%(budgetBuckets+1)]++
}

// addRetry counts one retry, whether or not the allowance permits it.
func (b *retryBudget) addRetry(a Allowance, now time.Time) {
	b.advance(a, now)
	b.retries[b.newestBucket%(budgetBuckets+1)]++
}

// hasRoom reports whether the allowance permits one more retry.
func (b *retryBudget) hasRoom(a Allowance, now time.Time) bool {
	b.advance(a, now)
	calls, retries := 0, 0
	for i := range b.calls {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	return float64(retries+1) <= a.MinRetries+a.Ratio*float64(calls)
}

// takeRetry counts one retry and returns true if the allowance permits it.
func (b *retryBudget) takeRetry(a Allowance, now time.Time) bool {
	if !b.hasRoom(a, now) {
		return false
	}
	b.addRetry(a, now)
	return true
}
