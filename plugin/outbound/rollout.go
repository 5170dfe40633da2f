package outbound

import (
	"slices"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/plugin/rollouts/versions"
)

// applyRules replaces the rules of roll-outs unless they are older than the held ones. It returns the index of the rules that are
// held then.
func (t *table) applyRules(m *peerapi.Rollouts, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Index < t.rulesIndex {
		return t.rulesIndex
	}
	t.rulesIndex = m.Index
	next := make(map[string]*versions.Rule, len(m.Rules))
	for _, rule := range m.Rules {
		next[rule.Service] = versions.New(rule, t.versions[rule.Service], t.rng.Float64(), now)
	}
	t.versions = next
	if t.lacksVersions() {
		return 0 // confirmed when the message is repeated
	}
	return t.rulesIndex
}

// lacksVersions reports whether the endpoint set of a service with a roll-out in progress has no versions yet, so that this node
// cannot follow the rule. The caller holds mu.
func (t *table) lacksVersions() bool {
	s := t.currentSnapshot()
	if s == nil {
		return false
	}
	for service, v := range t.versions {
		set := s.Sets[service]
		if v.Stage == peerapi.RuleDone || v.Unversioned || set == nil || len(set.Endpoints) == 0 {
			continue
		}
		if !slices.ContainsFunc(set.Endpoints, func(e resource.Endpoint) bool { return e.Version != "" }) {
			return true
		}
	}
	return false
}

// ruleFor returns the rule of a service, or nil if there is none. A rule does not count while no endpoint has a version: the node
// then has an endpoint set from before the roll-out. The caller holds mu.
func (t *table) ruleFor(service string) *versions.Rule {
	v := t.versions[service]
	if b := t.balancers[service]; v == nil || b == nil || !b.isVersioned {
		return nil
	}
	return v
}

// applyPermits applies the permits that answer a ping sent at sentAt.
func (t *table) applyPermits(permits []peerapi.Permit, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range permits {
		if v := t.versions[p.Service]; v != nil {
			v.Renew(p, sentAt)
		}
	}
}

// rolloutReports returns the reports on the roll-outs in progress of services that this node has called.
func (t *table) rolloutReports() []peerapi.RolloutReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []peerapi.RolloutReport
	for service, v := range t.versions {
		b := t.balancers[service]
		if v.Stage == peerapi.RuleDone || b == nil {
			continue
		}
		running := 0
		for _, e := range b.endpoints {
			if v.ClassOf(e.Version) != versions.ClassNew {
				running += e.inflight
			}
		}
		out = append(out, v.Report(t.rulesIndex, running))
	}
	return out
}

// pickVersioned selects an endpoint by the rule of the service. It counts an attempt at a new endpoint against the permit. The
// caller holds mu.
func (t *table) pickVersioned(v *versions.Rule, b *balancer, opts pickOptions, now time.Time) *endpoint {
	var canaries map[string]bool
	afterFailure := len(opts.tried) > 0 && opts.tried[len(opts.tried)-1].consecutiveFailures > 0
	for _, classes := range v.Preference(len(opts.tried) > 0, afterFailure, now) {
		if classes&versions.ClassNew != 0 {
			canaries = v.Canaries(b.readyNodes(v))
		}
		opts.accepts = func(e *endpoint) bool {
			class := v.ClassOf(e.Version)
			return class&classes != 0 && (class != versions.ClassNew || canaries == nil || canaries[e.Node])
		}
		if e := b.pick(now, opts, t.rng.IntN); e != nil {
			if v.ClassOf(e.Version) == versions.ClassNew {
				v.CountAttempt()
			}
			return e
		}
	}
	return nil
}

// readyNodes returns the nodes of the ready endpoints of the rule's target version.
func (b *balancer) readyNodes(v *versions.Rule) []string {
	var ready []string
	for _, e := range b.endpoints {
		if e.State == resource.StateReady && v.ClassOf(e.Version) == versions.ClassNew {
			ready = append(ready, e.Node)
		}
	}
	return ready
}

// isUsable reports whether a call may be offered to an endpoint apart from pickVersioned: during a roll-out only if all its
// requests go to endpoints of that class. The caller holds mu.
func (t *table) isUsable(service string, e *endpoint) bool {
	v := t.ruleFor(service)
	return v == nil || v.AcceptsAlways(e.Version)
}

// mayUseColocated reports whether the endpoint beside this node may be preferred. During a roll-out the shares of the versions
// decide. The caller holds mu.
func (t *table) mayUseColocated(service string, e *endpoint) bool {
	v := t.ruleFor(service)
	return v == nil || v.Stage != peerapi.RuleActive && v.AcceptsAlways(e.Version)
}

// usableSet returns the set without the endpoints that calls with an Idempotency-Key must not use during a roll-out: all nodes
// have to agree on the holders of a key, so these calls move to the new version at once, when the finishing phase begins.
func (t *table) usableSet(set *resource.EndpointSet) *resource.EndpointSet {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.ruleFor(set.Service)
	if v == nil {
		return set
	}
	out := &resource.EndpointSet{Service: set.Service}
	for _, e := range set.Endpoints {
		if v.AcceptsAlways(e.Version) {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

// observeVersion counts the end of an attempt for the roll-out of the service, if there is one.
func (t *table) observeVersion(c *resource.Cluster, e *endpoint, a versions.Answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.ruleFor(c.Service)
	if v == nil || v.Stage == peerapi.RuleDone {
		return
	}
	slowStart := time.Duration(c.SlowStartMillis) * time.Millisecond
	v.Observe(v.ClassOf(e.Version), a, e.slowStartWeight(now.Add(-a.Duration), slowStart) >= 1)
}

// countVersion counts the end of an attempt that reached an upstream; f is its failure, nil for an answer with the given status.
// Failures of the way to the endpoint's node say nothing about the version: a machine may be lost.
func (c *call) countVersion(e *endpoint, f *httpcall.Failure, status int, duration time.Duration) {
	c.o.table.observeVersion(c.cluster, e, versions.Answer{
		Route: c.route.Name, Failed: f != nil || status >= 500, Duration: duration, Mean: c.o.routeStats.meanDuration(c.route.Name),
	}, time.Now())
}
