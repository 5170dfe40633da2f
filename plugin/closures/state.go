package closures

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/resource"
)

const (
	// maxPerNode bounds the closures of a node, one for each upstream ID. A node has one upstream at a time, so the bound is
	// exceeded only by reports of other writers.
	maxPerNode = 8
	// maxNodes bounds the nodes with closures: about three times the nodes of the design capacity. A report is late by
	// seconds, while at that size 16,384 nodes are replaced in some ten days.
	maxNodes = 16384
	// maxNodeNameBytes bounds the name of a node in an entry.
	maxNodeNameBytes = 1024
)

// entry is one entry of the replicated log.
type entry struct {
	Node    string           `json:"n"`
	Closure resource.Closure `json:"c"`
}

func (e *entry) check() error {
	if e.Node == "" || len(e.Node) > maxNodeNameBytes {
		return errors.Newf("node name has %d bytes, want 1 to %d", len(e.Node), maxNodeNameBytes)
	}
	return e.Closure.Check()
}

// nodeClosures holds the closures of a node.
type nodeClosures struct {
	Node string `json:"n"`
	// List has at most one closure for each upstream ID. The one that was stated last is at the end.
	List []resource.Closure `json:"l"`
	// LastIndex is the index of the entry that changed List last.
	LastIndex uint64 `json:"i"`
}

// state is the replicated state: by node, which upstreams have closed. It depends only on the applied entries.
type state struct {
	nodes map[string]*nodeClosures
	// maxNodes is the constant; tests lower it.
	maxNodes int
}

func newState() *state { return &state{nodes: map[string]*nodeClosures{}, maxNodes: maxNodes} }

// covers reports whether the state has the closure or one that covers more.
func (s *state) covers(e entry) bool {
	n := s.nodes[e.Node]
	if n == nil {
		return false
	}
	i := n.find(e.Closure.Start.ID)
	return i >= 0 && n.List[i].Includes(e.Closure)
}

// apply joins a closure with the one of the same upstream ID. It reports whether it has changed anything.
func (s *state) apply(index uint64, e entry) (changed bool) {
	if s.covers(e) {
		return false
	}
	old := s.nodes[e.Node]
	n := &nodeClosures{Node: e.Node, LastIndex: index}
	if old != nil {
		n.List = slices.Clone(old.List) // the list that Closures has returned must not change
	}
	c := e.Closure
	if i := n.find(c.Start.ID); i >= 0 {
		c = c.Join(n.List[i])
		n.List = slices.Delete(n.List, i, i+1)
	}
	n.List = append(n.List, c)
	if len(n.List) > maxPerNode {
		n.List = slices.Delete(n.List, 0, 1)
	}
	s.nodes[e.Node] = n
	if len(s.nodes) > s.maxNodes {
		s.removeOldest()
	}
	return true
}

// removeOldest removes the node whose closures have not changed for longest.
func (s *state) removeOldest() {
	oldest := ""
	for name, n := range s.nodes {
		if oldest == "" || n.LastIndex < s.nodes[oldest].LastIndex {
			oldest = name
		}
	}
	delete(s.nodes, oldest)
}

func (n *nodeClosures) find(id string) int {
	return slices.IndexFunc(n.List, func(c resource.Closure) bool { return c.Start.ID == id })
}

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// encodedState is the snapshot.
type encodedState struct {
	Format int             `json:"format"`
	Nodes  []*nodeClosures `json:"nodes"`
}

// encode returns the encoded state; nothing for the empty one. Equal states have equal encodings.
func (s *state) encode() ([]byte, error) {
	if len(s.nodes) == 0 {
		return nil, nil
	}
	e := encodedState{Format: snapshotFormat}
	for _, name := range s.names() {
		e.Nodes = append(e.Nodes, s.nodes[name])
	}
	return json.Marshal(e, json.Deterministic(true))
}

func (s *state) names() []string {
	names := make([]string, 0, len(s.nodes))
	for name := range s.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// decodeState decodes a snapshot. It refuses one that exceeds a bound or names something twice.
func decodeState(data []byte) (*state, error) {
	s := newState()
	if len(data) == 0 {
		return s, nil
	}
	var e encodedState
	if err := json.Unmarshal(data, &e, json.RejectUnknownMembers(true)); err != nil {
		return nil, errors.Wrap(err, "snapshot of closures")
	}
	if e.Format != snapshotFormat || len(e.Nodes) > maxNodes {
		return nil, errors.Newf("snapshot of closures has format %d with %d nodes; this program reads format %d with at most %d", e.Format, len(e.Nodes), snapshotFormat, maxNodes)
	}
	for _, n := range e.Nodes {
		if n == nil || s.nodes[n.Node] != nil || len(n.List) == 0 || len(n.List) > maxPerNode {
			return nil, errors.New("snapshot of closures has a node without name, twice, or with an invalid number of closures")
		}
		for i, c := range n.List {
			if err := (&entry{Node: n.Node, Closure: c}).check(); err != nil {
				return nil, errors.Wrapf(err, "closures of node %.40q", n.Node)
			}
			if n.find(c.Start.ID) != i {
				return nil, errors.Newf("node %.40q has two closures of upstream %.40q", n.Node, c.Start.ID)
			}
		}
		s.nodes[n.Node] = n
	}
	return s, nil
}
