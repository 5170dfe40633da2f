package outbound

import "time"

// budgetBuckets is the number of buckets of the window. A retry is counted for up to one
// bucket longer than the window, never shorter.
const budgetBuckets = 10

// budgetUseFraction is the fraction of the permitted retries that is used. The rest covers nodes
// that see a different fleet size, and the calls that an upstream makes while it runs a
// retry, which count as retries at the services it calls.
const budgetUseFraction = 0.8

// Allowance bounds the retries of one cluster over a sliding window.
type Allowance struct {
	// Ratio is the number of permitted retries per call.
	Ratio float64
	// MinRetries is the number of retries permitted in each window regardless of the calls.
	MinRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// retryBudget counts the calls and retries of one cluster in buckets of a sliding window.
type retryBudget struct {
	calls, retries [budgetBuckets + 1]int
	// newest is the number of the newest bucket since the Unix epoch.
	newest int64
}

// advance moves to the current bucket and clears those that have left the window.
func (b *retryBudget) advance(a Allowance, now time.Time) {
	at := now.UnixNano() / max(int64(a.Window)/budgetBuckets, 1)
	if at-b.newest > budgetBuckets || b.newest == 0 {
		*b = retryBudget{newest: at}
		return
	}
	for b.newest < at {
		b.newest++
		i := b.newest % (budgetBuckets + 1)
		b.calls[i], b.retries[i] = 0, 0
	}
}

// addCall counts one call.
func (b *retryBudget) addCall(a Allowance, now time.Time) {
	b.advance(a, now)
	b.calls[b.newest%(budgetBuckets+1)]++
}

// takeRetry counts one retry and returns true if the allowance permits it.
func (b *retryBudget) takeRetry(a Allowance, now time.Time) bool {
	b.advance(a, now)
	calls, retries := 0, 0
	for i := range b.calls {
		calls += b.calls[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > a.MinRetries+a.Ratio*float64(calls) {
		return false
	}
	b.retries[b.newest%(budgetBuckets+1)]++
	return true
}
