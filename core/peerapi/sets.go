package peerapi

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/resource"
)

// SetChange modifies one endpoint set.
type SetChange struct {
	Service string `json:"svc"`
	// Base is the digest of the set that the change applies to.
	Base uint64 `json:"b"`
	// Digest is the digest of the resulting set.
	Digest uint64 `json:"g"`
	// Upserts holds the endpoints that are added or changed.
	Upserts []EndpointChange `json:"u,omitempty"`
	// Removes names the nodes whose endpoints are removed.
	Removes []string `json:"x,omitempty"`
}

// EndpointChange adds or changes one endpoint. Its fields have the meaning of those of
// resource.Endpoint. If the endpoint exists, absent fields keep their values.
type EndpointChange struct {
	Node             string                 `json:"node"`
	Incarnation      uint64                 `json:"inc,omitzero"`
	Address          string                 `json:"addr,omitempty"`
	AvailabilityZone string                 `json:"az,omitempty"`
	Region           string                 `json:"reg,omitempty"`
	Slots            *int                   `json:"slots,omitempty"`
	State            resource.EndpointState `json:"st,omitempty"`
	ReadySince       *int64                 `json:"rs,omitempty"`
	Stale            *bool                  `json:"stale,omitempty"`
	Version          *string                `json:"ver,omitempty"`
}

// ErrBaseMismatch means that a change does not apply to the current endpoint set.
var ErrBaseMismatch = errors.New("endpoint change does not apply to the current set")

// WithoutRevision returns e without its revision. Revisions are not sent to nodes, because they
// increase with each reconnect and would make otherwise equal sets differ.
func WithoutRevision(e resource.Endpoint) resource.Endpoint {
	e.Revision = 0
	return e
}

// Digest returns a digest of the content of a set. The digest does not depend on the order or on the
// revisions of the endpoints.
func Digest(s *resource.EndpointSet) uint64 {
	var sum uint64
	for i := range s.Endpoints {
		sum += endpointDigest(&s.Endpoints[i])
	}
	return sum
}

func endpointDigest(e *resource.Endpoint) uint64 {
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
	if e.Version != "" { // sets without versions keep the digest that they had before versions existed
		b = append(append(b, 2), e.Version...)
	}
	return xxhash.Sum64(b)
}

// Diff returns the change that turns one endpoint set of a service into another.
func Diff(from, to *resource.EndpointSet) SetChange {
	c := SetChange{Service: to.Service, Base: Digest(from), Digest: Digest(to)}
	oldByNode := map[string]*resource.Endpoint{}
	for i := range from.Endpoints {
		oldByNode[from.Endpoints[i].Node] = &from.Endpoints[i]
	}
	for i := range to.Endpoints {
		e := &to.Endpoints[i]
		old := oldByNode[e.Node]
		delete(oldByNode, e.Node)
		if old == nil {
			old = &resource.Endpoint{}
		} else if WithoutRevision(*old) == WithoutRevision(*e) {
			continue
		}
		c.Upserts = append(c.Upserts, diffEndpoint(old, e))
	}
	for node := range oldByNode {
		c.Removes = append(c.Removes, node)
	}
	sort.Strings(c.Removes)
	return c
}

// diffEndpoint returns a change with the fields of e that differ from old.
func diffEndpoint(old, e *resource.Endpoint) EndpointChange {
	d := EndpointChange{Node: e.Node}
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
	if e.Version != old.Version {
		d.Version = &e.Version
	}
	return d
}

// Apply returns the result of applying the change to the current set of the service; current is nil
// if there is none. The error is ErrBaseMismatch if the current set does not have the digest Base, or
// the result does not have the digest Digest.
func (c *SetChange) Apply(current *resource.EndpointSet) (resource.EndpointSet, error) {
	if current == nil || Digest(current) != c.Base {
		return resource.EndpointSet{}, errors.Wrapf(ErrBaseMismatch, "service %q", c.Service)
	}
	byNode := map[string]resource.Endpoint{}
	for _, e := range current.Endpoints {
		byNode[e.Node] = e
	}
	for _, node := range c.Removes {
		delete(byNode, node)
	}
	for i := range c.Upserts {
		u := &c.Upserts[i]
		byNode[u.Node] = u.applyTo(byNode[u.Node], c.Service)
	}
	out := resource.EndpointSet{Service: c.Service, Endpoints: make([]resource.Endpoint, 0, len(byNode))}
	for _, e := range byNode {
		out.Endpoints = append(out.Endpoints, e)
	}
	sort.Slice(out.Endpoints, func(i, j int) bool { return out.Endpoints[i].Node < out.Endpoints[j].Node })
	if Digest(&out) != c.Digest {
		return resource.EndpointSet{}, errors.Wrapf(ErrBaseMismatch, "service %q: the result has another digest", c.Service)
	}
	return out, nil
}

// Resolve converts the message into an update of the current snapshot by replacing each change of an
// endpoint set with the whole resulting set. current is nil before the first update.
func (m *Update) Resolve(current *resource.Snapshot) (resource.Update, error) {
	u := resource.Update{Delta: m.Delta, Sets: m.Sets, Drop: m.Drop}
	if current == nil && m.Delta == nil {
		return u, errors.Wrap(ErrBaseMismatch, "there is no snapshot yet")
	}
	for i := range m.Changes {
		var base *resource.EndpointSet
		if current != nil {
			base = current.Sets[m.Changes[i].Service]
		}
		set, err := m.Changes[i].Apply(base)
		if err != nil {
			return u, err
		}
		u.Sets = append(u.Sets, set)
	}
	return u, nil
}

// Digests returns the version of a snapshot and the digests of its endpoint sets.
func Digests(snapshot *resource.Snapshot) (resource.Version, map[string]uint64) {
	if snapshot == nil {
		return 0, nil
	}
	digests := make(map[string]uint64, len(snapshot.Sets))
	for service, set := range snapshot.Sets {
		digests[service] = Digest(set)
	}
	return snapshot.Version, digests
}

func (d *EndpointChange) applyTo(e resource.Endpoint, service string) resource.Endpoint {
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
	if d.Version != nil {
		e.Version = *d.Version
	}
	return e
}
