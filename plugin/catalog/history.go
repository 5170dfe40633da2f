package catalog

import (
	"sort"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Bounds of the kept history. A node further behind gets a full set, which at
// the design capacity is smaller than a delta of so many changes.
const (
	maxHistoryVersions = 10_000
	maxHistoryTouches  = 50_000
)

// touch is one resource that a version changed.
type touch struct {
	resource.Key
	// Before is the service that the resource referred to before; empty when it
	// did not exist.
	Before string `json:"b,omitempty"`

	next *resource.Resource
}

// step lists the resources that one version changed.
type step struct {
	Version resource.Version `json:"v"`
	Touched []touch          `json:"t,omitempty"`
}

// history holds the steps of the newest versions, without gaps. A touch of a
// removed resource is its tombstone.
type history struct {
	steps   []step
	touches int
	// maxVersions and maxTouches bound steps; tests lower them.
	maxVersions, maxTouches int
}

func (h *history) add(v resource.Version, touched []touch) {
	for i := range touched {
		touched[i].next = nil
	}
	h.steps = append(h.steps, step{Version: v, Touched: touched})
	h.touches += len(touched)
	drop := 0
	for len(h.steps)-drop > h.maxVersions || h.touches > h.maxTouches {
		h.touches -= len(h.steps[drop].Touched)
		h.steps[drop] = step{}
		drop++
	}
	h.steps = h.steps[drop:]
}

// since returns the steps above version from. It returns false when not all of
// them are kept.
func (h *history) since(from, newest resource.Version) ([]step, bool) {
	behind := uint64(newest - from)
	if behind > uint64(len(h.steps)) {
		return nil, false
	}
	return h.steps[uint64(len(h.steps))-behind:], true
}

// delta implements api.Catalog.Delta.
func (s *state) delta(from resource.Version, services map[string]bool) resource.Delta {
	if from == 0 || from > s.version {
		return s.full(services)
	}
	steps, ok := s.history.since(from, s.version)
	if !ok {
		return s.full(services)
	}
	// before holds the service at version from, which the first touch tells.
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
		if r != nil && relevant(services, s.service(r)) {
			d.Upserts = append(d.Upserts, *r)
		} else if relevant(services, before[key]) {
			d.Removes = append(d.Removes, key)
		}
	}
	return d
}

// full returns the whole set of a node with the given services.
func (s *state) full(services map[string]bool) resource.Delta {
	d := resource.Delta{To: s.version}
	for _, r := range s.resources {
		if relevant(services, s.service(r)) {
			d.Upserts = append(d.Upserts, *r)
		}
	}
	// Sorting comes last: a node holds a small part of all resources.
	sort.Slice(d.Upserts, func(i, j int) bool { return less(d.Upserts[i].Key(), d.Upserts[j].Key()) })
	return d
}

// relevant reports whether a node with the given services holds a resource of
// service; nil services means all, and the empty service is that of no resource.
func relevant(services map[string]bool, service string) bool {
	return service != "" && (services == nil || services[service])
}

func sortedKeys[V any](m map[resource.Key]V) []resource.Key {
	keys := make([]resource.Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return less(keys[i], keys[j]) })
	return keys
}
