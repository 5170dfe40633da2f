package quota

import (
	"math"
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// Limit is the rate limit of a calling team in force.
type Limit struct {
	// Rate is in requests per second.
	Rate, Burst float64
	// capacity is what Capacity returns if it is above 0.
	capacity float64
}

// Parameters of Limit.Capacity. Tokens that nodes have spent count against the capacity until they are reported, 0.2 s
// later, so a team with a rate far above its burst needs more than its burst; and a small team at several nodes needs room
// for a token at each. rateReserve and tokenReserve stay below the overshoot of 0.5 s of the rate and 20 tokens.
const (
	burstShare   = 0.5
	rateReserve  = 0.3 // seconds
	tokenReserve = 8
)

// Capacity returns the number of tokens that may exist at one moment, over all processes. In each window of length t, at most
// Rate × t + Capacity requests are admitted.
func (l Limit) Capacity() float64 {
	if l.Rate <= 0 {
		return 0
	}
	if l.capacity > 0 {
		return l.capacity
	}
	return max(l.Burst, burstShare*l.Burst+rateReserve*l.Rate+tokenReserve)
}

// share is a part of the rate and the capacity of a team.
type share struct{ rate, capacity float64 }

// maxLent is the fraction of a share's rate that may be lent to nodes for the time in which they cannot be reached.
const maxLent = 0.95

// needFactor is the offline rate that a node is lent, relative to its demand: a steady demand of a few requests a second
// varies by about that much.
const needFactor = 1.3

// holding is what one node holds of a bucket.
type holding struct {
	node *nodeState
	// tokens is the number that the node may hold, offline the highest offline rate that it may use.
	tokens  int
	offline float64
	// demand and need are what the node reported last.
	demand, need float64
}

// bucket is the token bucket of one team at a control instance.
type bucket struct {
	limit Limit
	// held is the share that the instance holds, target the one that the leader wants it to have. A share above the target is
	// lowered as far as what nodes hold permits.
	held, target share
	// own is the share that the instance has besides, whatever the leader decides.
	own   share
	level float64
	at    time.Duration
	// lent is the number of tokens that nodes may hold, and accrued the number of those that silent nodes may have
	// accrued by their offline rates.
	lent     int
	accrued  float64
	holdings map[nodeKey]*holding
	// want is the number of tokens that requests lacked since the last report to the leader. returned is the number of
	// tokens that were given up with their capacity since then.
	want, returned int
	// askedAt is the time from which on the leader has been asked for tokens without an answer; 0 if it has answered.
	askedAt time.Duration
	// activeAt is the time of the last request of a node for the team. dryUntil is the end of the time in which the leader
	// is not asked for tokens, and dryRetry what it stated then.
	activeAt, dryUntil time.Duration
	// isDecided is set once the leader has decided on the share with knowledge of all shares.
	isDecided bool
	// reported is the last report to the leader; demandReported belongs to it.
	reported       share
	demandReported float64
	// admitted is the recent number of tokens per second that nodes have taken and not given back. It decides nothing.
	admitted float64
}

// admittedTime is the time constant of bucket.admitted in seconds. It is the length of the window of the bound on requests.
const admittedTime = 5

// countAdmitted adds n tokens to the recent ones; n is negative for those that a node has given back.
func (b *bucket) countAdmitted(n int) { b.admitted = max(b.admitted+float64(n)/admittedTime, 0) }

// refill adds the tokens since the last refill, without those of the offline rates that nodes may be using.
func (b *bucket) refill(now, silentAfter time.Duration) {
	if now > b.at {
		reserved := 0.0
		b.accrued = 0
		for _, h := range b.holdings {
			if silent := now - h.node.contactAt - silentAfter; silent >= 0 && h.offline > 0 {
				reserved += h.offline
				b.accrued += min(h.offline*silent.Seconds(), peerapi.OfflineCapacity(h.offline))
			}
		}
		b.level += max(b.rate()-reserved, 0) * (now - b.at).Seconds()
		b.admitted *= math.Exp(-(now - b.at).Seconds() / admittedTime)
		b.at = now
	}
	b.clamp()
}

func (b *bucket) clamp() { b.level = max(min(b.level, b.capacity()-float64(b.lent)-b.accrued), 0) }

// setTokens sets the number of tokens that a node may hold.
func (b *bucket) setTokens(h *holding, n int) {
	b.lent += n - h.tokens
	h.tokens = n
}

// take moves up to n tokens to a node and returns their number.
func (b *bucket) take(h *holding, n int) int {
	n = min(n, int(b.level+epsilon))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	b.setTokens(h, h.tokens+n)
	b.countAdmitted(n)
	return n
}

// epsilon covers rounding of sums of rates; it is far below a token.
const epsilon = 1e-9

// minSpare is the number of tokens that are not given in advance, smallSpare that of a small team: its tokens stay where each
// node can get them. With 4 for all, nodes of a team with 28 requests a second had no stock, and 4 of 10 requests needed an
// exchange of their own.
const minSpare, smallSpare = 2.5, 4.0

// spare returns how many tokens may be given in advance: a quarter of the capacity stays for requests that wait.
func (b *bucket) spare() int {
	kept := minSpare
	if b.limit.Rate < smallRate {
		kept = smallSpare
	}
	return int(max(b.level-max(b.capacity()/4, kept), 0))
}

// offlineSum returns the offline rates that nodes may use, and the ones that they need.
func (b *bucket) offlineSum() (offline, need float64) {
	for _, h := range b.holdings {
		offline += h.offline
		need += h.need
	}
	return offline, need
}

// lend sets and returns the offline rate of a node. The rates stay within the share: one is raised only after others were
// confirmed to be lower.
func (b *bucket) lend(h *holding) float64 {
	offline, need := b.offlineSum()
	available := maxLent*(b.own.rate+min(b.held.rate, max(b.target.rate, 0))) - (offline - h.offline)
	wanted := h.need * min(needFactor, maxLent*(b.own.rate+b.target.rate)/max(need, epsilon))
	rate := math.Floor(100*max(min(wanted, available), 0)) / 100
	h.offline = max(h.offline, rate)
	return rate
}

// recall returns how many tokens a node is to give back, because the share is to shrink.
func (b *bucket) recall(h *holding) int {
	return min(h.tokens, max(int(math.Ceil(float64(b.lent)-b.target.capacity-b.own.capacity)), 0))
}

// settle lowers the share towards its target, as far as what nodes hold permits. Tokens that no longer fit are given up
// together with their capacity.
func (b *bucket) settle() {
	offline, _ := b.offlineSum()
	b.held.rate = min(b.held.rate, max(b.target.rate, offline-b.own.rate))
	capacity := min(b.held.capacity, max(b.target.capacity, float64(b.lent)-b.own.capacity))
	if surplus := int(min(b.level-(capacity+b.own.capacity-float64(b.lent)), b.held.capacity-capacity) + epsilon); surplus > 0 {
		b.level -= float64(surplus)
		b.returned += surplus
	}
	b.held.capacity = capacity
	b.clamp()
}

// demand returns the demand of the nodes that have been heard of lately: that over a longer time, so that the noise of
// arrivals moves no share, unless the recent one differs by more than noise does.
func (b *bucket) demand(now time.Duration) float64 {
	recent, steady := 0.0, 0.0
	for _, h := range b.holdings {
		if now-h.node.heardAt < demandLife {
			recent += h.demand
			steady += h.need
		}
	}
	if math.Abs(recent-steady) > shiftDeviations*math.Sqrt(max(recent, steady)/(2*recentTime)) {
		return recent
	}
	return steady
}

// recentTime is the time constant in seconds of the recent demand of nodes, whose deviation follows from it. Above
// shiftDeviations of it, a difference is a shift of clients.
const recentTime, shiftDeviations = 0.7, 1.5

// giveBack gives tokens of a small team that are above the next one up to the pool, together with their capacity: each
// instance can get them from there, and a full bucket would waste its rate.
func (b *bucket) giveBack() {
	if surplus := int(min(b.level-max(keptTokens, b.own.capacity), b.held.capacity) + epsilon); b.limit.Rate < smallRate && surplus > 0 {
		b.level -= float64(surplus)
		b.held.capacity -= float64(surplus)
		b.returned += surplus
	}
}

// keptTokens is the number of tokens of a small team that an instance keeps.
const keptTokens = 1

// demandLife is how long the demand that a node has reported counts.
const demandLife = time.Second

// pace returns the time between two tokens that a node can expect; 0 if it is unknown. If the demand is below the rate, the
// next token is for any node that asks; otherwise a node gets its part.
func (b *bucket) pace(h *holding) time.Duration {
	_, demand := b.offlineSum()
	rate := b.held.rate / (1 - smallPoolRate) // with what the pool adds
	if b.held.rate <= 0 {
		rate = b.limit.Rate / 2 // tokens come from the pool
	}
	switch {
	case rate <= 0 || h.need <= 0:
		return 0
	case demand > rate:
		rate *= h.need / demand
	}
	return time.Duration(float64(time.Second) / rate)
}

// retryAfter returns when the next token is expected.
func (b *bucket) retryAfter() time.Duration {
	if b.rate() <= 0 {
		// Tokens come from the pool, which is asked again with the next request.
		return min(max(time.Duration(2/max(b.limit.Rate, epsilon)*float64(time.Second)), 200*time.Millisecond), time.Second)
	}
	wait := time.Duration((1 - b.level) / b.rate() * float64(time.Second))
	return min(max(wait, time.Millisecond), 5*time.Second)
}
