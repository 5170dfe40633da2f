package distribution

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

var longFactor = flag.Int("long", 1, "factor by which property tests run longer")

// model simulates the decisions of instances and nodes without any I/O.
type model struct {
	rng     *rand.Rand
	changes []func(f *fakeCatalog)
	latest  *fakeCatalog
	// catalogs holds the configuration of each version, indexed by version.
	catalogs     []*fakeCatalog
	instances    []*modelInstance
	nodes        []*modelNode
	endpointSets map[string]resource.EndpointSet
	lastUpdateID uint64
}

type modelInstance struct {
	catalog *fakeCatalog
	index   *clusterIndex
	sets    map[string]*setHistory
}

type modelNode struct {
	services []string
	snapshot *resource.Snapshot
	instance *modelInstance
	session  *session
	update   *peerapi.Update
	ack      *peerapi.Ack
	// sentUpdates holds the updates sent to the node since its last restart; each may arrive again.
	sentUpdates []*peerapi.Update
	// sentAcks holds the acknowledgements of the current session; each may arrive again.
	sentAcks []*peerapi.Ack
	// maxServed is the highest version that was in force.
	maxServed resource.Version
	// expectFull reports whether the next delta must be a full set.
	expectFull bool
	// disturbed reports whether a late update or a rejection occurred since the last hello.
	disturbed bool
}

func newFakeCatalog() *fakeCatalog {
	return &fakeCatalog{resources: map[resource.Key]resource.Resource{}, removals: map[resource.Key]removal{}}
}

// newModel creates nodes of three kinds: subscribed to all, to one and to two services.
func newModel(seed int64, instances, nodesPerKind int) *model {
	m := &model{rng: rand.New(rand.NewPCG(uint64(seed), 1)), latest: newFakeCatalog(), endpointSets: map[string]resource.EndpointSet{}, catalogs: []*fakeCatalog{nil}}
	for range instances {
		m.instances = append(m.instances, &modelInstance{catalog: newFakeCatalog(), index: newClusterIndex(), sets: map[string]*setHistory{}})
	}
	m.change()
	m.advance(m.instances[0], 1)
	for range nodesPerKind {
		for _, services := range [][]string{{"*"}, {"s0"}, {"s1", "s2"}} {
			n := &modelNode{services: services}
			m.nodes = append(m.nodes, n)
			m.attach(n, m.instances[0])
		}
	}
	return m
}

func (m *model) change() {
	team, service, timeout, remove := fmt.Sprintf("t%d", m.rng.IntN(3)), fmt.Sprintf("s%d", m.rng.IntN(4)), m.rng.IntN(1000), m.rng.IntN(4) == 0
	op := func(f *fakeCatalog) {
		if remove {
			f.remove(team, service)
		} else {
			f.put(team, service, timeout)
		}
	}
	m.changes = append(m.changes, op)
	op(m.latest)
	state := &fakeCatalog{resources: maps.Clone(m.latest.resources)}
	m.catalogs = append(m.catalogs, state)
}

func (m *model) changeMany(changes int) {
	for range changes {
		m.change()
	}
}

func (m *model) advance(i *modelInstance, steps int) {
	for range steps {
		if v := int(i.catalog.version); v < len(m.changes) {
			m.changes[v](i.catalog)
		}
	}
	if m.rng.IntN(2) == 0 {
		m.advanceIndex(i) // otherwise the cluster index lags behind
	}
}

func (m *model) advanceIndex(i *modelInstance) {
	d := i.catalog.Delta(i.index.version, nil)
	i.index.apply(&d)
}

// changeEndpoints changes one endpoint set at one instance; the others get it in deliverAll.
func (m *model) changeEndpoints(i *modelInstance) {
	service := fmt.Sprintf("s%d", m.rng.IntN(4))
	set := resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}
	for n := range 5 {
		if m.rng.IntN(3) > 0 {
			set.Endpoints = append(set.Endpoints, resource.Endpoint{Node: fmt.Sprint("n", n), Service: service, Slots: 1 + m.rng.IntN(2), State: resource.StateReady})
		}
	}
	m.endpointSets[service] = set
	i.sets[service] = newSetHistory(set, i.sets[service])
}

func (i *modelInstance) getOrCreateSet(service string) *setHistory {
	if i.sets[service] == nil {
		i.sets[service] = newSetHistory(resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}, nil)
	}
	return i.sets[service]
}

// attach opens a session. A node without state is admitted by an instance that has applied all
// changes, as a linearizable read ensures.
func (m *model) attach(n *modelNode, i *modelInstance) {
	version, digests := peerapi.Digests(n.snapshot)
	n.instance, n.update, n.ack, n.sentAcks, n.expectFull, n.disturbed = i, nil, nil, nil, false, false
	n.session = newSession(&peerapi.Hello{Services: n.services, Version: version, Digests: digests})
	if version == 0 {
		m.advance(i, len(m.changes))
		n.session.minVersion = i.catalog.version
	}
	n.session.admitted = true
}

func (m *model) send(n *modelNode) error {
	s, i := n.session, n.instance
	in := planInput{settled: true, lookupSet: i.getOrCreateSet, clusterServices: i.index.services(), indexVersion: i.index.version}
	if s.needsFull || i.catalog.version > s.heldVersion {
		var wanted map[string]bool
		if s.services != nil {
			wanted = map[string]bool{}
			for _, service := range s.services {
				wanted[service] = true
			}
		}
		d := i.catalog.Delta(s.deltaBase(), wanted)
		in.delta = &d
	}
	hadInflight := s.inflight != nil
	u, f := s.planUpdate(in)
	if u == nil {
		return nil
	}
	if hadInflight {
		return errors.New("second update sent before the first was acknowledged")
	}
	if d := u.Delta; d != nil {
		if d.To < s.heldVersion || d.To < s.minVersion {
			return errors.Newf("node at version %d with lower bound %d is sent version %d", s.heldVersion, s.minVersion, d.To)
		}
		if n.expectFull && d.From != 0 {
			return errors.New("rejected update is not followed by a full set")
		}
		n.expectFull = false
	}
	for _, set := range u.Sets {
		if n.snapshot != nil && !n.disturbed && n.snapshot.Sets[set.Service] != nil && peerapi.Digest(n.snapshot.Sets[set.Service]) == peerapi.Digest(&set) {
			return errors.Newf("set %q is sent although the node holds it", set.Service)
		}
	}
	m.lastUpdateID++
	u.ID = m.lastUpdateID
	s.markSent(u.ID, f)
	n.update, n.sentUpdates = u, append(n.sentUpdates, u)
	return nil
}

// deliver applies an update at the node, or rejects it if reject is set.
func (n *modelNode) deliver(u *peerapi.Update, reject bool) *peerapi.Ack {
	a := &peerapi.Ack{ID: u.ID}
	r, err := u.Resolve(n.snapshot)
	if err == nil && reject {
		err = errors.New("spoiled")
	}
	if err == nil {
		var next *resource.Snapshot
		if next, err = n.snapshot.Apply(r); err == nil {
			n.snapshot = next
		}
	}
	if n.snapshot != nil {
		a.Version = n.snapshot.Version
	}
	if err != nil {
		a.Rejected = err.Error()
	}
	return a
}

func (m *model) step(op int) error {
	n, i := m.nodes[m.rng.IntN(len(m.nodes))], m.instances[m.rng.IntN(len(m.instances))]
	switch op {
	case 0:
		m.change()
	case 1:
		m.advance(i, 1+m.rng.IntN(40))
	case 2, 14, 15, 16:
		m.changeEndpoints(i)
	case 3:
		m.attach(n, i)
	case 4, 5, 6:
		return m.send(n)
	case 7, 8:
		if n.update != nil {
			reject := m.rng.IntN(6) == 0
			n.ack = n.deliver(n.update, reject)
			if n.ack.Rejected != "" && !reject && !n.disturbed {
				return errors.Newf("update that arrived in order is rejected: %s", n.ack.Rejected)
			}
			n.update, n.disturbed = nil, n.disturbed || reject
		}
	case 9, 10:
		if len(n.sentAcks) > 0 {
			n.session.handleAck(n.sentAcks[m.rng.IntN(len(n.sentAcks))]) // a repeated or late acknowledgement
		}
		if n.ack != nil {
			n.expectFull = n.expectFull || n.session.handleAck(n.ack) && n.ack.Rejected != ""
			n.sentAcks, n.ack = append(n.sentAcks, n.ack), nil
		}
	case 11:
		if len(n.sentUpdates) == 0 || n.snapshot == nil {
			break
		}
		// A late or repeated update without an acknowledgement. Old whole sets of the current
		// version can't be distinguished from new ones, but a connection delivers in order.
		u := n.sentUpdates[m.rng.IntN(len(n.sentUpdates))]
		if u.Delta != nil && u.Delta.To != n.snapshot.Version || u.Delta == nil && len(u.Sets) == 0 {
			n.deliver(u, false)
			n.disturbed = true
		}
	case 12:
		m.changeMany(150)
	case 13:
		n.snapshot, n.sentUpdates = nil, nil // restart: the connections of the old process are closed
		m.attach(n, i)
	}
	return nil
}

// checkNode returns an error if a node's snapshot is inconsistent or older than before.
func (m *model) checkNode(n *modelNode) error {
	if n.snapshot == nil {
		return nil
	}
	if n.snapshot.Version < n.maxServed {
		return errors.Newf("version decreased from %d to %d", n.maxServed, n.snapshot.Version)
	}
	n.maxServed = n.snapshot.Version
	for _, r := range n.snapshot.Routes {
		if c := n.snapshot.Clusters[r.Cluster]; c == nil || n.snapshot.Sets[c.Service] == nil {
			return errors.Newf("route %q lacks its cluster or endpoint set", r.Name)
		}
	}
	at := m.catalogs[n.snapshot.Version]
	routes, all := 0, n.services[0] == "*"
	for k, r := range at.resources {
		if k.Kind != resource.KindRoute || !all && !contains(n.services, at.service(r)) {
			continue
		}
		routes++
		if held := n.snapshot.Routes[k.Name]; held == nil || !reflect.DeepEqual(held, r.Route) {
			return errors.Newf("version %d lacks route %q", n.snapshot.Version, k.Name)
		}
	}
	if routes != len(n.snapshot.Routes) {
		return errors.Newf("version %d has %d routes, want %d", n.snapshot.Version, len(n.snapshot.Routes), routes)
	}
	return nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// deliverAll delivers all changes to all nodes and checks that none is missing.
func (m *model) deliverAll() error {
	for _, i := range m.instances {
		m.advance(i, len(m.changes))
		m.advanceIndex(i)
		for service, set := range m.endpointSets {
			i.sets[service] = newSetHistory(set, i.sets[service])
		}
	}
	for _, n := range m.nodes {
		for range 8 {
			n.session.allowRetry() // as after AckTimeout
			if n.update != nil {
				n.ack = n.deliver(n.update, false)
			}
			if n.ack != nil {
				n.session.handleAck(n.ack)
			}
			n.update, n.ack, n.expectFull = nil, nil, false
			if err := m.send(n); err != nil {
				return err
			}
		}
		if err := m.checkNode(n); err != nil {
			return err
		}
		if n.snapshot == nil || n.snapshot.Version != m.latest.version {
			return errors.Newf("node %v does not hold version %d", n.services, m.latest.version)
		}
		for _, c := range n.snapshot.Clusters {
			if set := n.snapshot.Sets[c.Service]; peerapi.Digest(set) != n.instance.getOrCreateSet(c.Service).digest {
				return errors.Newf("node %v holds an old set of %q", n.services, c.Service)
			}
		}
	}
	return nil
}

// Guards against decreasing versions, against snapshots that are incomplete or mix versions, and
// against changes that never arrive, when updates are lost, late, repeated or rejected, or come
// from instances that lag hundreds of changes behind.
func TestNodesNeverRevertAndReceiveEverything(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20)
	params.MinSuccessfulTests = 200
	props := gopter.NewProperties(params)
	props.Property("sessions deliver", prop.ForAllNoShrink(func(seed int64, ops []int) (bool, error) {
		m := newModel(seed, 2, 1)
		for _, op := range ops {
			if err := m.step(op); err != nil {
				return false, err
			}
			if err := m.checkAll(); err != nil {
				return false, err
			}
		}
		err := m.deliverAll()
		return err == nil, err
	}, gen.Int64(), gen.SliceOfN(120, gen.IntRange(0, 16))))
	props.TestingRun(t)
}

// Guards against nodes of a large fleet that end at different versions or return to an older
// one, when nodes without a disk restart and move between instances that lag by different
// numbers of changes.
func TestLargeFleetVersionsNeverDecrease(t *testing.T) {
	seeds, kinds, steps := 1, 40, 6000
	if *longFactor > 1 {
		seeds, kinds, steps = *longFactor, 200, 60000
	}
	for seed := range seeds {
		m := newModel(int64(seed), 16, kinds)
		for i := range steps {
			err := m.step(m.rng.IntN(17))
			if err == nil && i%(steps/20) == 0 {
				err = m.checkAll()
			}
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, i, err)
			}
		}
		if err := m.deliverAll(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func (m *model) checkAll() error {
	for _, n := range m.nodes {
		if err := m.checkNode(n); err != nil {
			return err
		}
	}
	return nil
}
