// Package versions decides on a node which versions of a service get its requests during a roll-out, and counts the results.
package versions

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// outOfContactAfter is the time without rules or a permit after which a call may use a new endpoint if its attempt at an
	// old one has just failed: the old endpoints may be stopped, and nothing tells the node so. An election takes less.
	outOfContactAfter = 5 * time.Second
	// slowAnswerFactor is the duration, relative to the mean of the route at this node, above which an answer is slow.
	slowAnswerFactor = 2.5
	// maxCountedRoutes bounds the routes of a service that are counted apart; the others are counted together.
	maxCountedRoutes = 8
)

// Class is the class of an endpoint during a roll-out. Classes can be combined.
type Class uint8

const (
	// ClassOld endpoints have another version than the target, and are not excluded.
	ClassOld Class = 1 << iota
	// ClassNew endpoints have the target version.
	ClassNew
	// ClassExcluded endpoints get no requests.
	ClassExcluded Class = 0
)

// Rule is the state of a node for the roll-out of a service: which versions it may use, and what it has counted. It is not
// safe for concurrent use.
type Rule struct {
	peerapi.RolloutRule
	// heardAt is when a control instance last confirmed the rule or renewed the permit.
	heardAt time.Time
	// permitted is the number of attempts at new endpoints that is permitted until validUntil; sent is how many were made.
	permitted, sent uint64
	validUntil      time.Time
	// credit grows with each first attempt by the share of the new version.
	credit float64
	routes map[string]*peerapi.RouteCounts
}

// New returns the state for a rule that follows old; old is nil if the service had none. phase is a random number in
// 0..1, so that the nodes do not send their first requests to the new version at the same time.
func New(rule peerapi.RolloutRule, old *Rule, phase float64, now time.Time) *Rule {
	if old != nil && old.ID == rule.ID {
		old.RolloutRule, old.heardAt = rule, now
		return old
	}
	return &Rule{RolloutRule: rule, heardAt: now, credit: phase, routes: map[string]*peerapi.RouteCounts{}}
}

// ClassOf returns the class of an endpoint of the version.
func (v *Rule) ClassOf(version string) Class {
	switch {
	case version == v.Target && !slices.Contains(v.Excluded, version):
		return ClassNew
	case slices.Contains(v.Excluded, version), version == "" && !v.Unversioned:
		return ClassExcluded
	}
	return ClassOld
}

// Preference returns the classes for the next attempt, in the order in which they are tried. isRetry is set for all attempts of
// a call but its first, and afterFailure for those that follow a broken connection or an endpoint that is gone.
func (v *Rule) Preference(isRetry, afterFailure bool, now time.Time) []Class {
	switch v.Stage {
	case peerapi.RuleDone:
		return []Class{ClassOld | ClassNew}
	case peerapi.RuleFinishing:
		return []Class{ClassNew}
	}
	if !isRetry {
		v.credit = min(v.credit+v.Share, 2)
	}
	if v.sent < v.permitted && now.Before(v.validUntil) {
		if !isRetry && v.credit >= 1 {
			v.credit--
			return []Class{ClassNew, ClassOld}
		}
		return []Class{ClassOld, ClassNew}
	}
	if afterFailure && now.Sub(v.heardAt) > outOfContactAfter {
		return []Class{ClassOld | ClassNew}
	}
	return []Class{ClassOld}
}

// Canaries returns those of the ready nodes of the target version that get requests, or nil for all of them: the first ones in an
// order by hash, which is the same at all nodes. It changes the order of ready.
func (v *Rule) Canaries(ready []string) map[string]bool {
	if v.Stage != peerapi.RuleActive || v.RolloutRule.Canaries == 0 {
		return nil
	}
	slices.SortFunc(ready, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	out := map[string]bool{}
	for _, node := range ready[:min(len(ready), v.RolloutRule.Canaries)] {
		out[node] = true
	}
	return out
}

// AcceptsAlways reports whether requests may go to endpoints of the version without a permit.
func (v *Rule) AcceptsAlways(version string) bool {
	switch class := v.ClassOf(version); v.Stage {
	case peerapi.RuleActive:
		return class == ClassOld
	case peerapi.RuleFinishing:
		return class == ClassNew
	default:
		return class != ClassExcluded
	}
}

// CountAttempt counts an attempt at an endpoint of the target version against the permit.
func (v *Rule) CountAttempt() { v.sent++ }

// Renew takes a permit that answers a ping sent at sentAt. Permits are cumulative: a lower one is late.
func (v *Rule) Renew(p peerapi.Permit, sentAt time.Time) {
	if p.ID != v.ID {
		return
	}
	v.permitted = max(v.permitted, p.Count)
	if until := sentAt.Add(time.Duration(p.LifetimeMillis) * time.Millisecond); until.After(v.validUntil) {
		v.heardAt, v.validUntil = sentAt, until
	}
}

// counts returns the counts of a route.
func (v *Rule) counts(route string) *peerapi.RouteCounts {
	c := v.routes[route]
	if c == nil && len(v.routes) >= maxCountedRoutes {
		route = ""
		c = v.routes[route]
	}
	if c == nil {
		c = &peerapi.RouteCounts{Route: route}
		v.routes[route] = c
	}
	return c
}

// Report returns the report on the roll-out. oldRunning is the number of attempts in progress at old endpoints.
func (v *Rule) Report(index uint64, oldRunning int) peerapi.RolloutReport {
	r := peerapi.RolloutReport{Service: v.Service, ID: v.ID, Index: index, Sent: v.sent, Permitted: v.permitted, OldRunning: oldRunning}
	for _, c := range v.routes {
		r.Routes = append(r.Routes, *c)
	}
	slices.SortFunc(r.Routes, func(a, b peerapi.RouteCounts) int { return cmp.Compare(a.Route, b.Route) })
	return r
}

// Answer describes the end of an attempt that reached an upstream.
type Answer struct {
	Route string
	// Failed means that the upstream failed or Answer with 500 or above.
	Failed bool
	// Duration is the time of the attempt, and Mean that of the route at this node; 0 if unknown.
	Duration, Mean time.Duration
}

// Observe counts the end of an attempt at an endpoint of the class. isWarm is false while the endpoint is warming up.
func (v *Rule) Observe(class Class, a Answer, isWarm bool) {
	c := v.counts(a.Route)
	to := &c.Old
	if class == ClassNew {
		to = &c.New
	}
	to.Requests++
	if a.Failed {
		to.Failures++
		return
	}
	if !isWarm {
		return
	}
	to.Measured++
	to.Millis += uint64(a.Duration.Milliseconds())
	if a.Mean > 0 && float64(a.Duration) > slowAnswerFactor*float64(a.Mean) {
		to.Slow++
	}
}
