package quota

import (
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

// Tolerance is by how much the admitted requests of a team may exceed its limit in a window: by Overshoot, relative to what
// the limit permits in the window, plus Slack requests. The zero value permits nothing.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	// usableBound is the fraction of the bound that is used. The rest covers the times by which processes learn of a change
	// of the limit or of the group at different moments.
	usableBound = 0.97
	// extraRate is the rate that replaces a part of the burst, relative to the limit's rate.
	extraRate = 0.16
	// keptBurst is the part of the burst that stays as capacity at least: tokens in advance and those that are not reported
	// yet count against it, for about half a second.
	keptBurst = 0.6
	// ownRate and ownCapacity are the parts of a limit that the instances have without the leader. The usual demand of an
	// availability zone is served from its instance's own share, also while there is no leader; the common part follows the
	// demand, and is large enough for a team whose clients are all in one zone.
	ownRate, ownCapacity = 0.42, 0.5
	// minOwnCapacity is the capacity below which an own share is of no use, since it seldom holds a whole token.
	minOwnCapacity = 1.5
	// shrinkDelay is how long a smaller group has to last before own shares grow: longer than any lease that an instance
	// which has left the group gave.
	shrinkDelay = 15 * time.Second
)

// total returns what may be handed out. In each window, rate x time + capacity stays below the bound, which is the limit with the
// tolerance. A bound on windows permits a part of the burst as rate instead, which serves a steady demand better.
func (t Tolerance) total(l Limit) share {
	strict := share{l.Rate, l.Capacity()}
	window := t.Window.Seconds()
	if l.Rate <= 0 || window <= 0 || t.Overshoot <= 0 {
		return strict
	}
	bound := usableBound * ((window*l.Rate+l.Burst)*(1+t.Overshoot) + t.Slack)
	least := max(keptBurst*l.Burst, rateReserve*l.Rate) + tokenReserve
	rate := min((bound-least)/window, (1+extraRate)*l.Rate)
	if rate < l.Rate {
		return strict
	}
	// The rest is capacity, of which small teams need most: each node keeps a token of theirs in advance.
	return share{rate, bound - window*rate}
}

// divide returns the part of a limit that the leader divides among the instances by demand, and the own share of each of a number of
// instances. The sum is what total returns. Without tolerance there are no own shares, because the whole limit
// must be able to follow the demand.
func (t Tolerance) divide(l Limit, instances int) (common Limit, own share) {
	s := t.total(l)
	if instances > 0 && t.Overshoot > 0 && ownCapacity*s.capacity >= minOwnCapacity*float64(instances) {
		own = share{ownRate * s.rate / float64(instances), ownCapacity * s.capacity / float64(instances)}
		s.rate, s.capacity = (1-ownRate)*s.rate, (1-ownCapacity)*s.capacity
	}
	return Limit{Rate: s.rate, Burst: l.Burst, capacity: s.capacity}, own
}

// groupSize is the number of instances by which limits are divided. It grows at once and shrinks after shrinkDelay.
type groupSize struct {
	size      int
	smallerAt time.Duration
}

// observe takes note of the number of members and returns the number to divide by.
func (g *groupSize) observe(members int, now time.Duration) int {
	switch {
	case members >= g.size:
		g.size, g.smallerAt = members, 0
	case g.smallerAt == 0:
		g.smallerAt = now
	case now-g.smallerAt >= shrinkDelay:
		g.size, g.smallerAt = members, 0
	}
	return g.size
}

// division divides the limits in force between the leader and the instances.
type division struct {
	tolerance Tolerance
	limits    map[string]Limit
	group     groupSize
	// hasOwn is set once this instance may use own shares, and fillOwn if they are full then.
	hasOwn, fillOwn bool
	// common is what the leader divides, and own the own shares of this instance.
	common map[string]Limit
	own    map[string]share
}

// setLimits replaces the limits in force.
func (d *division) setLimits(limits map[string]Limit) {
	d.limits, d.common, d.own = limits, make(map[string]Limit, len(limits)), make(map[string]share, len(limits))
	for name, l := range limits {
		common, own := d.tolerance.divide(l, d.group.size)
		if d.common[name] = common; d.hasOwn {
			d.own[name] = own
		}
	}
}

// observe takes note of the number of members of the group, and whether leases of earlier starts of this instance may last. isNew
// states that the group was formed with this start, so that there are none. It reports whether the division has changed.
func (d *division) observe(members int, leases peerapi.EarlierLeases, isNew bool, now time.Duration) bool {
	size, hasOwn := d.group.size, d.hasOwn
	d.group.observe(members, now)
	d.fillOwn = isNew
	d.hasOwn = d.hasOwn || isNew || leases == peerapi.LeasesEnded
	if size == d.group.size && hasOwn == d.hasOwn {
		return false
	}
	d.setLimits(d.limits)
	return true
}

// rate and capacity return what the bucket has in total.
func (b *bucket) rate() float64     { return b.held.rate + b.own.rate }
func (b *bucket) capacity() float64 { return b.held.capacity + b.own.capacity }

// setOwn replaces the own shares of the instance. full fills them: a group that is new has used nothing.
func (l *lender) setOwn(own map[string]share, full bool, now time.Duration) {
	for name, b := range l.buckets {
		b.refill(now, l.o.silentAfter)
		if b.own == (share{}) && full {
			b.level += own[name].capacity
		}
		b.own = own[name]
		b.clamp()
	}
}
