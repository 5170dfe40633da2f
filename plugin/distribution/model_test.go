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

var long = flag.Int("long", 1, "factor by which property tests run longer")

// model runs the decisions of instances and nodes without any I/O.
type model struct {
	rng  *rand.Rand
	log  []func(f *fakeCatalog)
	head *fakeCatalog
	// states holds the configuration of each version.
	states []*fakeCatalog
	insts  []*modelInstance
	nodes  []*modelNode
	truth  map[string]resource.EndpointSet
	id     uint64
}

type modelInstance struct {
	catalog *fakeCatalog
	index   *index
	sets    map[string]*setState
}

type modelNode struct {
	services []string
	snap     *resource.Snapshot
	inst     *modelInstance
	session  *session
	update   *peerapi.Update
	ack      *peerapi.Ack
	// sent holds the updates sent to this life of the node, acked the answers on
	// this session; both can arrive again. served is the highest version in force.
	sent   []*peerapi.Update
	acked  []*peerapi.Ack
	served resource.Version
	// full tells that the next delta must be a full set.
	full bool
	// crossed tells that a late message or a rejection came since the last hello.
	crossed bool
}

func newFakeCatalog() *fakeCatalog {
	return &fakeCatalog{now: map[resource.Key]resource.Resource{}, gone: map[resource.Key]gone{}}
}

// newModel has nodes of three kinds: subscribed to all, to one and to two services.
func newModel(seed int64, instances, ofEachKind int) *model {
	m := &model{rng: rand.New(rand.NewPCG(uint64(seed), 1)), head: newFakeCatalog(), truth: map[string]resource.EndpointSet{}, states: []*fakeCatalog{nil}}
	for range instances {
		m.insts = append(m.insts, &modelInstance{catalog: newFakeCatalog(), index: newIndex(), sets: map[string]*setState{}})
	}
	m.change()
	m.advance(m.insts[0], 1)
	for range ofEachKind {
		for _, services := range [][]string{{"*"}, {"s0"}, {"s1", "s2"}} {
			n := &modelNode{services: services}
			m.nodes = append(m.nodes, n)
			m.attach(n, m.insts[0])
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
	m.log = append(m.log, op)
	op(m.head)
	state := &fakeCatalog{now: maps.Clone(m.head.now)}
	m.states = append(m.states, state)
}

func (m *model) miss(changes int) {
	for range changes {
		m.change()
	}
}

func (m *model) advance(i *modelInstance, steps int) {
	for range steps {
		if v := int(i.catalog.version); v < len(m.log) {
			m.log[v](i.catalog)
		}
	}
	if m.rng.IntN(2) == 0 {
		m.follow(i) // otherwise the index of clusters stays behind
	}
}

func (m *model) follow(i *modelInstance) {
	d := i.catalog.Delta(i.index.version, nil)
	i.index.apply(&d)
}

// churn changes one endpoint set, which one instance learns at once.
func (m *model) churn(i *modelInstance) {
	service := fmt.Sprintf("s%d", m.rng.IntN(4))
	set := resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}
	for n := range 5 {
		if m.rng.IntN(3) > 0 {
			set.Endpoints = append(set.Endpoints, resource.Endpoint{Node: fmt.Sprint("n", n), Service: service, Slots: 1 + m.rng.IntN(2), State: resource.StateReady})
		}
	}
	m.truth[service] = set
	i.sets[service] = newSetState(set, i.sets[service])
}

func (i *modelInstance) set(service string) *setState {
	if i.sets[service] == nil {
		i.sets[service] = newSetState(resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}, nil)
	}
	return i.sets[service]
}

// attach opens a session. A node without state is admitted by an instance that
// has applied everything, as a linearizable read ensures.
func (m *model) attach(n *modelNode, i *modelInstance) {
	version, digests := peerapi.Digests(n.snap)
	n.inst, n.update, n.ack, n.acked, n.full, n.crossed = i, nil, nil, nil, false, false
	n.session = newSession(&peerapi.Hello{Services: n.services, Version: version, Digests: digests})
	if version == 0 {
		m.advance(i, len(m.log))
		n.session.min = i.catalog.version
	}
	n.session.admitted = true
}

func (m *model) send(n *modelNode) error {
	s, i := n.session, n.inst
	o := offer{settled: true, set: i.set, services: i.index.services(), version: i.index.version}
	if s.full || i.catalog.version > s.held {
		var wanted map[string]bool
		if s.services != nil {
			wanted = map[string]bool{}
			for _, service := range s.services {
				wanted[service] = true
			}
		}
		d := i.catalog.Delta(s.from(), wanted)
		o.delta = &d
	}
	flying := s.flight != nil
	u, f := s.plan(o)
	if u == nil {
		return nil
	}
	if flying {
		return errors.New("second update before the acknowledgement of the first")
	}
	if d := u.Delta; d != nil {
		if d.To < s.held || d.To < s.min {
			return errors.Newf("node at %d, bound %d is sent version %d", s.held, s.min, d.To)
		}
		if n.full && d.From != 0 {
			return errors.New("rejected update is not followed by a full set")
		}
		n.full = false
	}
	for _, set := range u.Sets {
		if n.snap != nil && !n.crossed && n.snap.Sets[set.Service] != nil && peerapi.Digest(n.snap.Sets[set.Service]) == peerapi.Digest(&set) {
			return errors.Newf("set %q is sent although the node holds it", set.Service)
		}
	}
	m.id++
	u.ID = m.id
	s.sent(u.ID, f)
	n.update, n.sent = u, append(n.sent, u)
	return nil
}

// deliver applies an update at the node; a spoiled one is rejected.
func (n *modelNode) deliver(u *peerapi.Update, spoiled bool) *peerapi.Ack {
	a := &peerapi.Ack{ID: u.ID}
	r, err := u.Resolve(n.snap)
	if err == nil && spoiled {
		err = errors.New("spoiled")
	}
	if err == nil {
		var next *resource.Snapshot
		if next, err = n.snap.Apply(r); err == nil {
			n.snap = next
		}
	}
	if n.snap != nil {
		a.Version = n.snap.Version
	}
	if err != nil {
		a.Rejected = err.Error()
	}
	return a
}

func (m *model) step(op int) error {
	n, i := m.nodes[m.rng.IntN(len(m.nodes))], m.insts[m.rng.IntN(len(m.insts))]
	switch op {
	case 0:
		m.change()
	case 1:
		m.advance(i, 1+m.rng.IntN(40))
	case 2, 14, 15, 16:
		m.churn(i)
	case 3:
		m.attach(n, i)
	case 4, 5, 6:
		return m.send(n)
	case 7, 8:
		if n.update != nil {
			spoiled := m.rng.IntN(6) == 0
			n.ack = n.deliver(n.update, spoiled)
			if n.ack.Rejected != "" && !spoiled && !n.crossed {
				return errors.Newf("update in order is rejected: %s", n.ack.Rejected)
			}
			n.update, n.crossed = nil, n.crossed || spoiled
		}
	case 9, 10:
		if len(n.acked) > 0 {
			n.session.ack(n.acked[m.rng.IntN(len(n.acked))]) // twice or late
		}
		if n.ack != nil {
			n.full = n.full || n.session.ack(n.ack) && n.ack.Rejected != ""
			n.acked, n.ack = append(n.acked, n.ack), nil
		}
	case 11:
		if len(n.sent) == 0 || n.snap == nil {
			break
		}
		// Late or twice, without an acknowledgement. Whole sets of the present
		// version cannot be told from new ones; connections keep those in order.
		u := n.sent[m.rng.IntN(len(n.sent))]
		if u.Delta != nil && u.Delta.To != n.snap.Version || u.Delta == nil && len(u.Sets) == 0 {
			n.deliver(u, false)
			n.crossed = true
		}
	case 12:
		m.miss(150)
	case 13:
		n.snap, n.sent = nil, nil // restart: connections of the old process are gone
		m.attach(n, i)
	}
	return nil
}

// check returns what is wrong with a node's snapshot.
func (m *model) check(n *modelNode) error {
	if n.snap == nil {
		return nil
	}
	if n.snap.Version < n.served {
		return errors.Newf("version fell from %d to %d", n.served, n.snap.Version)
	}
	n.served = n.snap.Version
	for _, r := range n.snap.Routes {
		if c := n.snap.Clusters[r.Cluster]; c == nil || n.snap.Sets[c.Service] == nil {
			return errors.Newf("route %q is open", r.Name)
		}
	}
	at := m.states[n.snap.Version]
	routes, all := 0, n.services[0] == "*"
	for k, r := range at.now {
		if k.Kind != resource.KindRoute || !all && !contains(n.services, at.service(r)) {
			continue
		}
		routes++
		if held := n.snap.Routes[k.Name]; held == nil || !reflect.DeepEqual(held, r.Route) {
			return errors.Newf("version %d lacks route %q", n.snap.Version, k.Name)
		}
	}
	if routes != len(n.snap.Routes) {
		return errors.Newf("version %d has %d routes, want %d", n.snap.Version, len(n.snap.Routes), routes)
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

// finish lets everything arrive and checks that nothing is missing.
func (m *model) finish() error {
	for _, i := range m.insts {
		m.advance(i, len(m.log))
		m.follow(i)
		for service, set := range m.truth {
			i.sets[service] = newSetState(set, i.sets[service])
		}
	}
	for _, n := range m.nodes {
		for range 8 {
			n.session.retry() // as after AckTimeout
			if n.update != nil {
				n.ack = n.deliver(n.update, false)
			}
			if n.ack != nil {
				n.session.ack(n.ack)
			}
			n.update, n.ack, n.full = nil, nil, false
			if err := m.send(n); err != nil {
				return err
			}
		}
		if err := m.check(n); err != nil {
			return err
		}
		if n.snap == nil || n.snap.Version != m.head.version {
			return errors.Newf("node %v does not hold version %d", n.services, m.head.version)
		}
		for _, c := range n.snap.Clusters {
			if set := n.snap.Sets[c.Service]; peerapi.Digest(set) != n.inst.set(c.Service).digest {
				return errors.Newf("node %v holds an old set of %q", n.services, c.Service)
			}
		}
	}
	return nil
}

// Guards against versions that fall, snapshots that are open or mix versions,
// and changes that never arrive, when updates are lost, late, repeated,
// rejected, or come from instances that lag hundreds of changes behind.
func TestNodesNeverGoBackAndGetEverything(t *testing.T) {
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
		err := m.finish()
		return err == nil, err
	}, gen.Int64(), gen.SliceOfN(120, gen.IntRange(0, 16))))
	props.TestingRun(t)
}

// Guards against a fleet of hundreds of nodes whose parts end at different versions or
// go back, when nodes without a disk restart and move between instances that lag
// differently.
func TestLargeFleetNeverGoesBack(t *testing.T) {
	seeds, kinds, steps := 1, 40, 6000
	if *long > 1 {
		seeds, kinds, steps = *long, 200, 60000
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
		if err := m.finish(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func (m *model) checkAll() error {
	for _, n := range m.nodes {
		if err := m.check(n); err != nil {
			return err
		}
	}
	return nil
}
