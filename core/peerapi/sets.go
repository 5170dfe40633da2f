package peerapi

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/resource"
)

// SetChange alters one endpoint set.
type SetChange struct {
	Service string `json:"svc"`
	// Base is the digest of the set that the change applies to, Digest that of its result.
	Base    uint64 `json:"b"`
	Digest  uint64 `json:"g"`
	Upserts []Edit `json:"u,omitempty"`
	// Removes names the nodes of removed endpoints.
	Removes []string `json:"x,omitempty"`
}

// Edit adds or changes one endpoint. Absent fields of an endpoint that the set
// holds keep their values.
type Edit struct {
	Node             string                 `json:"node"`
	Incarnation      uint64                 `json:"inc,omitzero"`
	Address          string                 `json:"addr,omitempty"`
	AvailabilityZone string                 `json:"az,omitempty"`
	Region           string                 `json:"reg,omitempty"`
	Slots            *int                   `json:"slots,omitempty"`
	State            resource.EndpointState `json:"st,omitempty"`
	ReadySince       *int64                 `json:"rs,omitempty"`
	Stale            *bool                  `json:"stale,omitempty"`
}

// ErrBase means that a change does not fit the set that is held.
var ErrBase = errors.New("endpoint change does not fit the held set")

// Visible returns e without its revision. Nodes never see revisions, because
// they rise with each reconnect and would make equal sets differ.
func Visible(e resource.Endpoint) resource.Endpoint {
	e.Revision = 0
	return e
}

// Digest identifies the content of a set: the order and the revisions of its
// endpoints do not matter.
func Digest(s *resource.EndpointSet) uint64 {
	var sum uint64
	for i := range s.Endpoints {
		sum += digestOne(&s.Endpoints[i])
	}
	return sum
}

func digestOne(e *resource.Endpoint) uint64 {
	b := make([]byte, 0, 128)
	for _, t := range []string{e.Node, e.Address, e.AvailabilityZone, e.Region, string(e.State)} {
		b = binary.AppendUvarint(b, uint64(len(t)))
		b = append(b, t...)
	}
	b = binary.AppendUvarint(b, e.Incarnation)
	b = binary.AppendVarint(b, int64(e.Slots))
	b = binary.AppendVarint(b, e.ReadySince)
	if e.Stale {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Diff returns the change from one set of a service to another.
func Diff(from, to *resource.EndpointSet) SetChange {
	c := SetChange{Service: to.Service, Base: Digest(from), Digest: Digest(to)}
	held := map[string]*resource.Endpoint{}
	for i := range from.Endpoints {
		held[from.Endpoints[i].Node] = &from.Endpoints[i]
	}
	for i := range to.Endpoints {
		e := &to.Endpoints[i]
		old := held[e.Node]
		delete(held, e.Node)
		if old == nil {
			old = &resource.Endpoint{}
		} else if Visible(*old) == Visible(*e) {
			continue
		}
		c.Upserts = append(c.Upserts, edit(old, e))
	}
	for node := range held {
		c.Removes = append(c.Removes, node)
	}
	sort.Strings(c.Removes)
	return c
}

// edit returns the fields of e that differ from old.
func edit(old, e *resource.Endpoint) Edit {
	d := Edit{Node: e.Node}
	if e.Incarnation != old.Incarnation {
		d.Incarnation = e.Incarnation
	}
	if e.Address != old.Address {
		d.Address = e.Address
	}
	if e.AvailabilityZone != old.AvailabilityZone {
		d.AvailabilityZone = e.AvailabilityZone
	}
	if e.Region != old.Region {
		d.Region = e.Region
	}
	if e.Slots != old.Slots {
		d.Slots = &e.Slots
	}
	if e.State != old.State {
		d.State = e.State
	}
	if e.ReadySince != old.ReadySince {
		d.ReadySince = &e.ReadySince
	}
	if e.Stale != old.Stale {
		d.Stale = &e.Stale
	}
	return d
}

// Apply returns the set that results from the change. held is nil when the set
// is not held. It fails with ErrBase unless both digests fit.
func (c *SetChange) Apply(held *resource.EndpointSet) (resource.EndpointSet, error) {
	if held == nil || Digest(held) != c.Base {
		return resource.EndpointSet{}, errors.Wrapf(ErrBase, "service %q", c.Service)
	}
	eps := map[string]resource.Endpoint{}
	for _, e := range held.Endpoints {
		eps[e.Node] = e
	}
	for _, node := range c.Removes {
		delete(eps, node)
	}
	for i := range c.Upserts {
		u := &c.Upserts[i]
		eps[u.Node] = u.apply(eps[u.Node], c.Service)
	}
	out := resource.EndpointSet{Service: c.Service, Endpoints: make([]resource.Endpoint, 0, len(eps))}
	for _, e := range eps {
		out.Endpoints = append(out.Endpoints, e)
	}
	sort.Slice(out.Endpoints, func(i, j int) bool { return out.Endpoints[i].Node < out.Endpoints[j].Node })
	if Digest(&out) != c.Digest {
		return resource.EndpointSet{}, errors.Wrapf(ErrBase, "service %q: result differs", c.Service)
	}
	return out, nil
}

// Resolve turns the message into an update of the held snapshot, which is nil
// before the first one: changes of endpoint sets become whole sets.
func (m *Update) Resolve(held *resource.Snapshot) (resource.Update, error) {
	u := resource.Update{Delta: m.Delta, Sets: m.Sets, Drop: m.Drop}
	if held == nil && m.Delta == nil {
		return u, errors.Wrap(ErrBase, "no snapshot is held")
	}
	for i := range m.Changes {
		var base *resource.EndpointSet
		if held != nil {
			base = held.Sets[m.Changes[i].Service]
		}
		set, err := m.Changes[i].Apply(base)
		if err != nil {
			return u, err
		}
		u.Sets = append(u.Sets, set)
	}
	return u, nil
}

// Digests returns the version and the digests of the sets of a snapshot.
func Digests(held *resource.Snapshot) (resource.Version, map[string]uint64) {
	if held == nil {
		return 0, nil
	}
	digests := make(map[string]uint64, len(held.Sets))
	for service, set := range held.Sets {
		digests[service] = Digest(set)
	}
	return held.Version, digests
}

func (d *Edit) apply(e resource.Endpoint, service string) resource.Endpoint {
	e.Node, e.Service = d.Node, service
	if d.Incarnation != 0 {
		e.Incarnation = d.Incarnation
	}
	if d.Address != "" {
		e.Address = d.Address
	}
	if d.AvailabilityZone != "" {
		e.AvailabilityZone = d.AvailabilityZone
	}
	if d.Region != "" {
		e.Region = d.Region
	}
	if d.Slots != nil {
		e.Slots = *d.Slots
	}
	if d.State != "" {
		e.State = d.State
	}
	if d.ReadySince != nil {
		e.ReadySince = *d.ReadySince
	}
	if d.Stale != nil {
		e.Stale = *d.Stale
	}
	return e
}
