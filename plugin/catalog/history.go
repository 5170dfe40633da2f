package catalog

import (
	"sort"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Limits of the history. Above one of them, the oldest steps are dropped. A node that needs a
// dropped step gets a full set, which at the design capacity is smaller than a delta of so
// many changes.
const (
	// maxHistoryVersions is the maximum number of steps.
	maxHistoryVersions = 10_000
	// maxHistoryResources is the maximum number of touched resources in all steps together.
	maxHistoryResources = 50_000
)

// touchedResource is one resource that a version changed.
type touchedResource struct {
	resource.Key
	// Before is the service that the resource referred to before the change; empty if the
	// resource did not exist, and allServices for a caller.
	Before string `json:"b,omitempty"`

	// next is the resource after the change; nil if it was removed.
	next *resource.Resource
}

// historyStep lists the resources that one version changed.
type historyStep struct {
	Version resource.Version  `json:"v"`
	Touched []touchedResource `json:"t,omitempty"`
}

// history holds the steps of the newest versions, without gaps. The touchedResource of a
// removed resource serves as its tombstone.
type history struct {
	steps         []historyStep
	resourceCount int // number of touched resources in steps
	// maxVersions limits the length of steps, and maxResourceCount limits resourceCount. Tests
	// lower these limits.
	maxVersions, maxResourceCount int
}

// add appends the step of a version and drops the oldest steps while a limit is exceeded.
func (h *history) add(v resource.Version, touched []touchedResource) {
	for i := range touched {
		touched[i].next = nil
	}
	h.steps = append(h.steps, historyStep{Version: v, Touched: touched})
	h.resourceCount += len(touched)
	dropped := 0
	for len(h.steps)-dropped > h.maxVersions || h.resourceCount > h.maxResourceCount {
		h.resourceCount -= len(h.steps[dropped].Touched)
		h.steps[dropped] = historyStep{}
		dropped++
	}
	h.steps = h.steps[dropped:]
}

// stepsSince returns the steps after version from, up to the given newest version of the state. It
// returns false if the history does not contain all of them.
func (h *history) stepsSince(from, newest resource.Version) ([]historyStep, bool) {
	behind := uint64(newest - from)
	if behind > uint64(len(h.steps)) {
		return nil, false
	}
	return h.steps[uint64(len(h.steps))-behind:], true
}

// delta returns the changes after version from, as described at api.Catalog.Delta.
func (s *state) delta(from resource.Version, services map[string]bool) resource.Delta {
	if from == 0 || from > s.version {
		return s.fullDelta(services)
	}
	steps, ok := s.history.stepsSince(from, s.version)
	if !ok {
		return s.fullDelta(services)
	}
	// before holds the service of each resource at version from: the one before the first
	// change that follows.
	before := map[resource.Key]string{}
	for _, st := range steps {
		for _, t := range st.Touched {
			if _, seen := before[t.Key]; !seen {
				before[t.Key] = t.Before
			}
		}
	}
	d := resource.Delta{From: from, To: s.version}
	for _, key := range sortedKeys(before) {
		r := s.resources[key]
		if r != nil && isRelevant(services, key.Kind, s.service(r)) {
			d.Upserts = append(d.Upserts, *r)
		} else if isRelevant(services, key.Kind, before[key]) {
			d.Removes = append(d.Removes, key)
		}
	}
	return d
}

// fullDelta returns a full set: all resources of a node with the given services.
func (s *state) fullDelta(services map[string]bool) resource.Delta {
	d := resource.Delta{To: s.version}
	for key, r := range s.resources {
		if isRelevant(services, key.Kind, s.service(r)) {
			d.Upserts = append(d.Upserts, *r)
		}
	}
	// Sort after the filter: a node holds only a small fraction of all resources.
	sort.Slice(d.Upserts, func(i, j int) bool { return lessKey(d.Upserts[i].Key(), d.Upserts[j].Key()) })
	return d
}

// allServices stands for the service of a caller, which all nodes hold. A service may have this name, so the kind of
// the resource decides.
const allServices = "*"

// isRelevant reports whether a node with the given services holds the resources of a kind and service.
// Nil services stand for all services. The empty service is that of a resource that does not
// exist.
func isRelevant(services map[string]bool, kind resource.Kind, service string) bool {
	return service != "" && (kind == resource.KindCaller || services == nil || services[service])
}

func sortedKeys[V any](m map[resource.Key]V) []resource.Key {
	keys := make([]resource.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return lessKey(keys[i], keys[j]) })
	return keys
}
