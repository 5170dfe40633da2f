package discovery

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

var long = flag.Int("long", 1, "factor by which property tests run longer")

const (
	grace      = 5 * time.Second
	tombstones = 2 * time.Hour
)

// mesh runs the tables of some instances and the messages between them.
type mesh struct {
	rng    *rand.Rand
	names  []string
	now    time.Time
	tables map[string]*table
	epochs map[string]uint64
	seqs   map[[2]string]uint64
	queues map[[2]string][]message
	// sent holds every message, so that old ones can arrive again.
	sent  []message
	nodes []*upstream
}

type message struct {
	to   string
	sync bool
	m    peerapi.Records
}

type upstream struct {
	e  resource.Endpoint
	at string // instance; empty without a session
}

func newMesh(seed int64, instances, nodes int) *mesh {
	m := &mesh{rng: rand.New(rand.NewPCG(uint64(seed), 2)), now: time.Unix(1e9, 0), tables: map[string]*table{}, epochs: map[string]uint64{}, seqs: map[[2]string]uint64{}, queues: map[[2]string][]message{}}
	for i := range instances {
		m.names = append(m.names, fmt.Sprintf("c%02d", i))
	}
	for _, n := range m.names {
		m.start(n)
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &upstream{e: resource.Endpoint{Node: fmt.Sprint("n", i), Service: "s", Incarnation: 1, State: resource.StateReady, Slots: 9}})
	}
	return m
}

// start begins a new life of an instance with an empty table.
func (m *mesh) start(name string) {
	var others []string
	for _, o := range m.names {
		if o != name {
			others = append(others, o)
		}
	}
	m.epochs[name]++
	m.tables[name] = newTable(name, others)
	for _, u := range m.nodes {
		if u.at == name {
			u.at = ""
		}
	}
	for _, o := range others {
		m.reconnect(name, o)
		m.reconnect(o, name)
	}
}

// reconnect loses what is on its way and sends all records.
func (m *mesh) reconnect(from, to string) {
	if t := m.tables[from]; t != nil {
		own, others := t.full(to)
		m.queues[[2]string{from, to}] = nil
		m.send(from, to, true, own, others)
	}
}

func (m *mesh) send(from, to string, sync bool, own, others []peerapi.Record) {
	k := [2]string{from, to}
	m.seqs[k]++
	msg := message{to, sync, peerapi.Records{Instance: from, Epoch: m.epochs[from], Seq: m.seqs[k], Records: own, Others: others}}
	m.queues[k] = append(m.queues[k], msg)
	m.sent = append(m.sent, msg)
}

func (m *mesh) flush(from string) {
	t := m.tables[from]
	own := t.of(t.changed)
	clear(t.changed)
	for _, to := range m.names {
		if to != from {
			m.send(from, to, false, own, nil)
		}
	}
}

func (m *mesh) receive(msg message) (complete bool) {
	if msg.sync {
		m.tables[msg.to].sync(&msg.m, m.now)
		return true
	}
	return m.tables[msg.to].delta(&msg.m, m.now)
}

func (m *mesh) deliver(k [2]string) {
	if q := m.queues[k]; len(q) > 0 {
		m.queues[k] = q[1:]
		if !m.receive(q[0]) {
			m.reconnect(k[0], k[1])
		}
	}
}

func (m *mesh) announce(u *upstream, at string, state resource.EndpointState) {
	u.e.Revision++
	u.e.State = state
	for {
		known, ok := m.tables[at].announce(u.e, m.now)
		if ok {
			break
		}
		u.e.Incarnation = max(u.e.Incarnation, known) + 1
	}
	if u.at != "" && u.at != at { // the session that the node has left ends
		m.tables[u.at].detach(u.e.Node, u.e.Incarnation, m.now)
	}
	u.at = at
}

func (m *mesh) name() string { return m.names[m.rng.IntN(len(m.names))] }

func (m *mesh) step(op int) {
	u, a, b := m.nodes[m.rng.IntN(len(m.nodes))], m.name(), m.name()
	switch op {
	case 0:
		m.announce(u, a, resource.StateReady)
	case 1:
		m.announce(u, a, resource.StateDraining)
	case 2:
		m.announce(u, a, resource.StateGone)
		u.at = ""
	case 3, 4:
		if u.at != "" {
			m.tables[u.at].detach(u.e.Node, u.e.Incarnation, m.now)
			u.at = ""
		}
		if op == 4 { // restart of the node
			u.e.Incarnation, u.e.Revision = u.e.Incarnation+1, 0
		}
	case 5, 6:
		m.flush(a)
	case 7, 8, 9, 10:
		m.deliver([2]string{a, b})
	case 11:
		if m.rng.IntN(3) == 0 {
			m.start(a)
		}
	case 12:
		if a != b {
			m.reconnect(a, b)
		}
	case 13:
		if len(m.sent) > 0 {
			m.receive(m.sent[m.rng.IntN(len(m.sent))]) // late or twice
		}
	case 14:
		m.now = m.now.Add(time.Duration(m.rng.IntN(4)) * time.Second)
		m.tables[a].expire(m.now, grace, tombstones)
	case 15:
		if q := m.queues[[2]string{a, b}]; len(q) > 0 {
			m.queues[[2]string{a, b}] = q[1:] // lost without notice
		}
	}
}

// finish ends all faults and checks that the tables agree and are right.
func (m *mesh) finish() error {
	for i, u := range m.nodes {
		if i > 0 && u.at == "" && u.e.State == resource.StateReady {
			m.announce(u, m.name(), resource.StateReady)
		}
	}
	for range 8 {
		for _, from := range m.names {
			m.flush(from)
			for _, to := range m.names {
				if from != to {
					m.send(from, to, false, nil, nil) // heartbeat
				}
			}
		}
		for k := range m.queues {
			for len(m.queues[k]) > 0 {
				m.deliver(k)
			}
		}
		m.now = m.now.Add(3 * grace)
		for _, n := range m.names {
			m.tables[n].expire(m.now, grace, tombstones)
		}
	}
	first := m.tables[m.names[0]].set("s")
	for _, n := range m.names[1:] {
		if set := m.tables[n].set("s"); !reflect.DeepEqual(first, set) {
			return errors.Newf("table %s has %+v, table %s has %+v", m.names[0], first, n, set)
		}
	}
	held := map[string]resource.Endpoint{}
	for _, e := range first.Endpoints {
		held[e.Node] = e
	}
	for _, u := range m.nodes {
		e, ok := held[u.e.Node]
		if u.at != "" && (!ok || e.State != u.e.State || e.Incarnation != u.e.Incarnation || e.Stale) {
			return errors.Newf("node %+v is shown as %+v (%t)", u, e, ok)
		}
		if u.at == "" && ok && !e.Stale {
			return errors.Newf("node %+v without a session is shown as current", u)
		}
	}
	return nil
}

// Guards against endpoint tables that differ for good, records that come back
// after they were replaced, and announcements that get lost, when messages are
// late, lost or repeated, instances restart and nodes move between them.
func TestTablesConverge(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(30)
	params.MinSuccessfulTests = 3000
	props := gopter.NewProperties(params)
	props.Property("tables converge", prop.ForAllNoShrink(func(seed int64, ops []int) (bool, error) {
		m := newMesh(seed, 3, 5)
		for _, op := range ops {
			m.step(op)
		}
		err := m.finish()
		return err == nil, err
	}, gen.Int64(), gen.SliceOfN(150, gen.IntRange(0, 15))))
	props.TestingRun(t)
}

// Guards against tables that converge for a few nodes only: the largest number of
// instances, and hundreds of nodes that move, restart and leave.
func TestTablesOfALargeFleetConverge(t *testing.T) {
	seeds, nodes, steps := 1, 100, 4000
	if *long > 1 {
		seeds, nodes, steps = *long, 600, 30000
	}
	for seed := range seeds {
		m := newMesh(int64(seed), 16, nodes)
		for range steps {
			m.step(m.rng.IntN(16))
		}
		if err := m.finish(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Guards against a set that is emptied because many leases are lost at once,
// and against dead endpoints that stay in a set that can do without them.
func TestLossOfManyLeasesKeepsTheSet(t *testing.T) {
	for _, tc := range []struct{ nodes, lost, visible int }{{6, 1, 5}, {6, 3, 3}, {6, 4, 6}, {6, 6, 6}, {1, 1, 1}} {
		now := time.Unix(1e9, 0)
		tab := newTable("a", nil)
		for i := range tc.nodes {
			tab.announce(resource.Endpoint{Node: fmt.Sprint("n", i), Service: "s", Incarnation: 1, Revision: 1, State: resource.StateReady}, now)
		}
		for i := range tc.lost {
			tab.detach(fmt.Sprint("n", i), 1, now)
		}
		tab.expire(now.Add(grace), grace, tombstones)
		stale, set := 0, tab.set("s")
		for _, e := range set.Endpoints {
			if e.Stale {
				stale++
			}
		}
		if len(set.Endpoints) != tc.visible || stale != tc.visible-(tc.nodes-tc.lost) {
			t.Errorf("%d of %d leases lost: %d endpoints, %d stale; want %d endpoints", tc.lost, tc.nodes, len(set.Endpoints), stale, tc.visible)
		}
	}
}

// Guards against records of a silent instance that are deleted or shown as current.
func TestSilentInstanceIsStaleNotDeleted(t *testing.T) {
	now := time.Unix(1e9, 0)
	tab := newTable("a", []string{"b"})
	r := peerapi.Record{Owner: "b", Endpoint: resource.Endpoint{Node: "n", Service: "s", Incarnation: 1, State: resource.StateReady}}
	tab.sync(&peerapi.Records{Instance: "b", Epoch: 1, Seq: 1, Records: []peerapi.Record{r}}, now)
	tab.silence(now.Add(time.Hour), 4*time.Second)
	tab.expire(now.Add(3*time.Hour), grace, tombstones)
	if set := tab.set("s"); len(set.Endpoints) != 1 || !set.Endpoints[0].Stale {
		t.Fatalf("silent instance: %+v", set)
	}
	tab.delta(&peerapi.Records{Instance: "b", Epoch: 1, Seq: 2}, now.Add(3*time.Hour))
	if set := tab.set("s"); len(set.Endpoints) != 1 || set.Endpoints[0].Stale {
		t.Fatalf("instance that speaks again: %+v", set)
	}
}

// Guards against an instance that stood still and then takes every lease for
// lost, although the messages that renew them wait to be read.
func TestPauseOfTheProcessEndsNoLease(t *testing.T) {
	now := time.Unix(1e9, 0)
	tab := newTable("a", []string{"b"})
	tab.sync(&peerapi.Records{Instance: "b", Epoch: 1, Seq: 1}, now)
	tab.announce(resource.Endpoint{Node: "n", Service: "s", Incarnation: 1, Revision: 1, State: resource.StateReady}, now)
	tab.detach("n", 1, now)
	tab.pause(time.Minute)
	now = now.Add(time.Minute + time.Second)
	if lost, silent := tab.expire(now, grace, tombstones), tab.silence(now, 4*time.Second); len(lost)+len(silent) > 0 {
		t.Fatalf("after a pause of a minute: lost %v, silent %v", lost, silent)
	}
}
