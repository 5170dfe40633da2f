package distribution

import (
	"sort"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// flight is the one unacknowledged update of a session.
type flight struct {
	id   uint64
	to   resource.Version
	sets map[string]uint64
	drop []string
}

// session decides what a node is sent. Callers serialise its methods.
type session struct {
	node, zone  string
	incarnation uint64
	// services is nil for a node that subscribes to all.
	services []string
	// held is the version in force on the node, sets the digests of its sets.
	held resource.Version
	sets map[string]uint64
	// min is the lowest version that the node may be sent.
	min      resource.Version
	admitted bool
	// full makes the next update a full set.
	full   bool
	flight *flight
}

func newSession(h *peerapi.Hello) *session {
	s := &session{node: h.Node, zone: h.AvailabilityZone, incarnation: h.Incarnation, held: h.Version, min: h.Version, sets: map[string]uint64{}}
	if h.Version == 0 {
		s.full = true
	} else {
		for service, digest := range h.Digests {
			s.sets[service] = digest
		}
	}
	all := false
	for _, service := range h.Services {
		all = all || service == peerapi.AllServices
	}
	if !all {
		s.services = append([]string{}, h.Services...)
		sort.Strings(s.services)
	}
	return s
}

// from returns the version that the next delta starts at; 0 means a full set.
func (s *session) from() resource.Version {
	if s.full {
		return 0
	}
	return s.held
}

// offer is what the instance can send to a session.
type offer struct {
	// delta leads from session.from to its To; nil when there is none.
	delta *resource.Delta
	// needed names the services whose sets the node needs without those that
	// clusters of the delta refer to; exact tells that all others can be dropped.
	needed []string
	exact  bool
	// set returns the state of a set; it is never nil.
	set func(service string) *setState
	// settled is false while the endpoint table is incomplete.
	settled bool
}

// plan returns the next update and what it leads to, or nil when the node is up
// to date, not admitted, or has not acknowledged the last update.
func (s *session) plan(o offer) (*peerapi.Update, *flight) {
	if !s.admitted || s.flight != nil {
		return nil, nil
	}
	u := &peerapi.Update{}
	f := &flight{to: s.held, sets: map[string]uint64{}}
	if d := o.delta; d != nil && d.To >= s.min && (d.To > s.held || d.From == 0 && d.To == s.held && s.full) {
		if d.From == 0 || d.From == s.held {
			u.Delta, f.to = d, d.To
		}
	}
	if u.Delta == nil && (s.full || s.held == 0) {
		return nil, nil // sets alone would not make a closed snapshot
	}
	needed := s.required(u.Delta, o)
	for _, service := range sortedKeys(needed) {
		s.planSet(service, o, u, f)
	}
	if o.exact && u.Delta != nil {
		for _, service := range sortedKeys(s.sets) {
			if !needed[service] {
				u.Drop = append(u.Drop, service)
			}
		}
		f.drop = u.Drop
	}
	if u.Delta == nil && len(u.Sets) == 0 && len(u.Changes) == 0 {
		return nil, nil
	}
	return u, f
}

// required returns the services whose sets the node needs after the delta.
func (s *session) required(d *resource.Delta, o offer) map[string]bool {
	needed := map[string]bool{}
	for _, service := range o.needed {
		needed[service] = true
	}
	if !o.exact {
		for service := range s.sets {
			needed[service] = true
		}
	}
	if d != nil {
		for i := range d.Upserts {
			if c := d.Upserts[i].Cluster; c != nil {
				needed[c.Service] = true
			}
		}
	}
	return needed
}

// planSet adds one set to the update when the node's one differs. While the
// table is incomplete, a node keeps the set that it holds.
func (s *session) planSet(service string, o offer, u *peerapi.Update, f *flight) {
	digest, held := s.sets[service]
	held = held && !s.full
	if !o.settled && (held || u.Delta == nil) {
		return
	}
	now := o.set(service)
	if held && digest == now.digest {
		return
	}
	f.sets[service] = now.digest
	if held {
		if c := now.change(digest); c != nil {
			u.Changes = append(u.Changes, *c)
			return
		}
	}
	u.Sets = append(u.Sets, *now.set)
}

// sent notes the update as unacknowledged.
func (s *session) sent(id uint64, f *flight) {
	c := *f
	c.id = id
	s.flight = &c
}

// ack takes the answer of the node. It reports false when the answer belongs to
// no unacknowledged update and is ignored.
func (s *session) ack(a *peerapi.Ack) bool {
	f := s.flight
	if f == nil || f.id != a.ID {
		return false
	}
	s.flight = nil
	s.held = max(s.held, a.Version)
	s.min = max(s.min, s.held)
	if a.Rejected != "" || a.Version != f.to {
		s.full = true
		return true
	}
	s.full = false
	for service, digest := range f.sets {
		s.sets[service] = digest
	}
	for _, service := range f.drop {
		delete(s.sets, service)
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}
