package distribution

import (
	"sort"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// maxRejects is the number of rejections in a row after which whole endpoint
// sets are not repeated at once.
const maxRejects = 2

// flight is the one unacknowledged update of a session.
type flight struct {
	id   uint64
	to   resource.Version
	full bool
	sets map[string]uint64
	drop []string
}

// heldSet is what is known of a set on the node.
type heldSet struct {
	digest uint64
	// doubtful makes the next update carry the whole set.
	doubtful bool
	// ours tells that the node got the set in this session.
	ours bool
}

// session decides what a node is sent. Callers serialise its methods.
type session struct {
	node, zone  string
	incarnation uint64
	// services is nil for a node that subscribes to all.
	services []string
	// held is the version in force on the node, sets the digests of its sets.
	held resource.Version
	sets map[string]heldSet
	// min is the lowest version that the node may be sent.
	min      resource.Version
	admitted bool
	// full makes the next update a full set.
	full bool
	// refused is the version whose full set the node rejected. It is not sent again
	// before a newer one is there or retry is called.
	refused resource.Version
	// rejects counts rejections in a row.
	rejects int
	flight  *flight
}

func newSession(h *peerapi.Hello) *session {
	s := &session{node: h.Node, zone: h.AvailabilityZone, incarnation: h.Incarnation, held: h.Version, min: h.Version, sets: map[string]heldSet{}}
	if h.Version == 0 {
		s.full = true
	} else {
		for service, digest := range h.Digests {
			s.sets[service] = heldSet{digest: digest}
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
	// services names those that the clusters of version refer to. It is not read
	// for nodes that list their services.
	services []string
	version  resource.Version
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
	if d := o.delta; d != nil && s.takes(d) {
		u.Delta, f.to, f.full = d, d.To, d.From == 0
	}
	if u.Delta == nil && s.held == 0 {
		return nil, nil // sets alone make no snapshot
	}
	if u.Delta == nil && s.rejects >= maxRejects {
		return nil, nil
	}
	exact := s.services != nil || o.version == f.to
	needed := s.required(u.Delta, o, exact)
	for _, service := range sortedKeys(needed) {
		s.planSet(service, o, u, f)
	}
	if exact {
		for _, service := range sortedKeys(s.sets) {
			if !needed[service] {
				u.Drop = append(u.Drop, service)
			}
		}
		f.drop = u.Drop
	}
	if u.Delta == nil && len(u.Sets) == 0 && len(u.Changes) == 0 && len(u.Drop) == 0 {
		return nil, nil
	}
	return u, f
}

// takes reports whether the node may be sent the delta.
func (s *session) takes(d *resource.Delta) bool {
	switch {
	case d.To == 0 || d.To < s.min || d.To < s.held || d.To == s.refused:
		return false
	case d.From == 0:
		return s.full || d.To > s.held
	}
	return !s.full && d.From == s.held && d.To > s.held
}

// retry allows the refused version again.
func (s *session) retry() { s.refused, s.rejects = 0, 0 }

// required returns the services whose sets the node needs after the delta. When
// the instance does not know exactly what the node's clusters refer to, it keeps
// all sets that the node holds.
func (s *session) required(d *resource.Delta, o offer, exact bool) map[string]bool {
	needed := map[string]bool{}
	list := s.services
	if list == nil {
		list = o.services
	}
	for _, service := range list {
		needed[service] = true
	}
	if !exact {
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
// table is incomplete, a node keeps a set that it brought along: it may know more
// than this instance. A set of this session follows the table.
func (s *session) planSet(service string, o offer, u *peerapi.Update, f *flight) {
	has, held := s.sets[service]
	if !o.settled && held && !has.doubtful && !has.ours {
		return
	}
	now := o.set(service)
	if held && !has.doubtful && has.digest == now.digest {
		return
	}
	f.sets[service] = now.digest
	if held && !has.doubtful {
		if c := now.change(has.digest); c != nil {
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
		s.reject(f)
		return true
	}
	s.full, s.rejects = s.full && !f.full, 0
	for service, digest := range f.sets {
		s.sets[service] = heldSet{digest: digest, ours: true}
	}
	for _, service := range f.drop {
		delete(s.sets, service)
	}
	return true
}

// reject makes the next update a full set with whole endpoint sets. A full set
// that was rejected is not repeated at once.
func (s *session) reject(f *flight) {
	s.full = true
	s.rejects++
	if f.full {
		s.refused = f.to
	}
	for service, has := range s.sets {
		has.doubtful = true
		s.sets[service] = has
	}
}

func sortedKeys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}
