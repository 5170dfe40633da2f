package distribution

import (
	"sort"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// maxConsecutiveRejections is the number of consecutive rejections after which a node is sent
// no endpoint sets without a delta until AckTimeout has passed.
const maxConsecutiveRejections = 2

// inflightUpdate is the one unacknowledged update of a session.
type inflightUpdate struct {
	id uint64
	// to is the version of the node after the update.
	to resource.Version
	// full is set if the update contains a full configuration.
	full bool
	// sets holds the digests of the endpoint sets that the update changes, by service.
	sets map[string]uint64
	// drop lists the services whose endpoint sets the update removes.
	drop []string
}

// heldSet is the last known state of an endpoint set on the node.
type heldSet struct {
	digest uint64
	// uncertain is set after a rejection; the next update then carries the whole set.
	uncertain bool
	// sentInSession reports whether the node received the set in this session.
	sentInSession bool
}

// session decides which updates a node is sent. Its methods must not be called concurrently.
type session struct {
	node, zone  string
	incarnation uint64
	// helloIncarnation is that of the process, which does not change during the session.
	helloIncarnation uint64
	// services lists the subscribed services in order; nil for a node that subscribes to all.
	services []string
	// heldVersion is the version in force on the node, as the node last reported it.
	heldVersion resource.Version
	// heldSets holds the last known state of the node's endpoint sets, by service.
	heldSets map[string]heldSet
	// minVersion is the lowest version that the node may be sent.
	minVersion resource.Version
	// admitted is set once the node may be sent updates.
	admitted bool
	// needsFull is set when the next update must be a full set.
	needsFull bool
	// refusedVersion is the version whose full set the node rejected. It is not sent again
	// until allowRetry is called; a newer version may be sent before that.
	refusedVersion resource.Version
	// consecutiveRejections counts the rejections since the node last accepted an update or
	// allowRetry was called.
	consecutiveRejections int
	// inflight is the update that awaits its acknowledgement; nil if there is none.
	inflight *inflightUpdate
}

func newSession(h *peerapi.Hello) *session {
	s := &session{node: h.Node, zone: h.AvailabilityZone, incarnation: h.Incarnation, helloIncarnation: h.Incarnation, heldVersion: h.Version, minVersion: h.Version, heldSets: map[string]heldSet{}}
	if h.Version == 0 {
		s.needsFull = true
	} else {
		for service, digest := range h.Digests {
			s.heldSets[service] = heldSet{digest: digest}
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

// deltaBase returns the version that the next delta starts from; 0 means a full set.
func (s *session) deltaBase() resource.Version {
	if s.needsFull {
		return 0
	}
	return s.heldVersion
}

// planInput holds the data from which the next update of a session is planned.
type planInput struct {
	// delta starts from session.deltaBase; nil if there is none to send.
	delta *resource.Delta
	// clusterServices lists the services that the clusters of indexVersion refer to. It is
	// ignored for nodes that list their services.
	clusterServices []string
	// indexVersion is the version of the cluster index.
	indexVersion resource.Version
	// lookupSet returns the history of a service's endpoint set; it never returns nil.
	lookupSet func(service string) *setHistory
	// settled is false while the endpoint table is incomplete.
	settled bool
}

// planUpdate returns the next update and the state that the node reaches with it, or nil when
// the node is up to date, is not admitted or has not acknowledged the last update.
func (s *session) planUpdate(in planInput) (*peerapi.Update, *inflightUpdate) {
	if !s.admitted || s.inflight != nil {
		return nil, nil
	}
	u := &peerapi.Update{}
	f := &inflightUpdate{to: s.heldVersion, sets: map[string]uint64{}}
	if d := in.delta; d != nil && s.canSend(d) {
		u.Delta, f.to, f.full = d, d.To, d.From == 0
	}
	if u.Delta == nil && s.heldVersion == 0 {
		return nil, nil // endpoint sets without a configuration are no snapshot
	}
	if u.Delta == nil && s.consecutiveRejections >= maxConsecutiveRejections {
		return nil, nil
	}
	exact := s.services != nil || in.indexVersion == f.to
	needed := s.requiredServices(u.Delta, in, exact)
	for _, service := range sortedKeys(needed) {
		s.planSet(service, in, u, f)
	}
	if exact {
		for _, service := range sortedKeys(s.heldSets) {
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

// canSend reports whether the delta may be sent to the node.
func (s *session) canSend(d *resource.Delta) bool {
	switch {
	case d.To == 0 || d.To < s.minVersion || d.To < s.heldVersion || d.To == s.refusedVersion:
		return false
	case d.From == 0:
		return s.needsFull || d.To > s.heldVersion
	}
	return !s.needsFull && d.From == s.heldVersion && d.To > s.heldVersion
}

// allowRetry permits sending the refused version again.
func (s *session) allowRetry() { s.refusedVersion, s.consecutiveRejections = 0, 0 }

// requiredServices returns the services whose endpoint sets the node needs after the delta.
// exact reports whether the instance knows which services the node's clusters refer to; when
// it does not, all sets that the node holds are kept.
func (s *session) requiredServices(d *resource.Delta, in planInput, exact bool) map[string]bool {
	needed := map[string]bool{}
	subscribed := s.services
	if subscribed == nil {
		subscribed = in.clusterServices
	}
	for _, service := range subscribed {
		needed[service] = true
	}
	if !exact {
		for service := range s.heldSets {
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

// planSet adds an endpoint set to the update when the node's copy differs. While the endpoint
// table is incomplete, a node keeps the sets that it held before this session, since they may
// be more complete than the table. Sets sent in this session follow the table.
func (s *session) planSet(service string, in planInput, u *peerapi.Update, f *inflightUpdate) {
	onNode, known := s.heldSets[service]
	if !in.settled && known && !onNode.uncertain && !onNode.sentInSession {
		return
	}
	latest := in.lookupSet(service)
	if known && !onNode.uncertain && onNode.digest == latest.digest {
		return
	}
	f.sets[service] = latest.digest
	if known && !onNode.uncertain {
		if c := latest.changeFrom(onNode.digest); c != nil {
			u.Changes = append(u.Changes, *c)
			return
		}
	}
	u.Sets = append(u.Sets, *latest.set)
}

// markSent records the update as unacknowledged.
func (s *session) markSent(id uint64, f *inflightUpdate) {
	c := *f
	c.id = id
	s.inflight = &c
}

// handleAck applies the node's acknowledgement or rejection of an update. It returns false
// when the message does not belong to the unacknowledged update and is ignored.
func (s *session) handleAck(a *peerapi.Ack) bool {
	f := s.inflight
	if f == nil || f.id != a.ID {
		return false
	}
	s.inflight = nil
	s.heldVersion = max(s.heldVersion, a.Version)
	s.minVersion = max(s.minVersion, s.heldVersion)
	if a.Rejected != "" || a.Version != f.to {
		s.handleRejection(f)
		return true
	}
	s.needsFull, s.consecutiveRejections = s.needsFull && !f.full, 0
	for service, digest := range f.sets {
		s.heldSets[service] = heldSet{digest: digest, sentInSession: true}
	}
	for _, service := range f.drop {
		delete(s.heldSets, service)
	}
	return true
}

// handleRejection makes the next update a full set with whole endpoint sets. A rejected full
// set is not sent again at once.
func (s *session) handleRejection(f *inflightUpdate) {
	s.needsFull = true
	s.consecutiveRejections++
	if f.full {
		s.refusedVersion = f.to
	}
	for service, set := range s.heldSets {
		set.uncertain = true
		s.heldSets[service] = set
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
