package distribution

import (
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

const waitTimeout = 10 * time.Second

// Guards against a node that misses a full set, a delta, a removal or an endpoint set, or that
// holds resources of services to which it does not subscribe.
func TestNodeGetsConfigurationAndEndpoints(t *testing.T) {
	f := newFleet(t, "cant-a")
	c := f.startControl(0, "")
	c.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "catalogo", allServices, "")
	m := f.startNode("n2", "cant-a", "", `["taller"]`, "")
	kerneltest.WaitUntil(t, waitTimeout, "first snapshot with own endpoint", func() bool {
		return n.version() == 1 && n.endpoints("catalogo") == 1 && m.version() == 1
	})
	v := c.catalog.put("lectura", "taller", 1000)
	kerneltest.WaitUntil(t, waitTimeout, "delta with a new service", func() bool { return n.version() == v && n.endpoints("taller") == 0 })
	kerneltest.WaitUntil(t, waitTimeout, "subscribed service", func() bool { return m.version() == v && len(m.view.Current().Routes) == 1 })
	if m.endpoints("catalogo") != -1 {
		t.Fatal("node holds the set of a service that it does not subscribe to")
	}
	o := f.startNode("n3", "cant-a", "taller", allServices, "")
	kerneltest.WaitUntil(t, waitTimeout, "new endpoint", func() bool { return n.endpoints("taller") == 1 && m.endpoints("taller") == 1 })
	v = c.catalog.remove("lectura", "catalogo")
	kerneltest.WaitUntil(t, waitTimeout, "removal", func() bool {
		return n.version() == v && len(n.view.Current().Routes) == 1 && n.endpoints("catalogo") == -1
	})
	o.stop()
	kerneltest.WaitUntil(t, waitTimeout, "planned stop", func() bool { return n.endpoints("taller") == 0 && m.endpoints("taller") == 0 })
}

// Guards against endpoints and versions that do not reach nodes of other control instances, and
// against a node that does not reconnect after its instance has stopped.
func TestNodesMoveBetweenInstances(t *testing.T) {
	f := newFleet(t, "cant-a", "cant-b")
	a, b := f.startControl(0, ""), f.startControl(1, "")
	a.catalog.put("lectura", "catalogo", 1000)
	b.catalog.put("lectura", "catalogo", 1000)
	n := f.startNode("n1", "cant-a", "catalogo", allServices, "")
	m := f.startNode("n2", "cant-b", "catalogo", allServices, "")
	kerneltest.WaitUntil(t, waitTimeout, "both endpoints at both nodes", func() bool { return n.endpoints("catalogo") == 2 && m.endpoints("catalogo") == 2 })
	a.stop()
	v := b.catalog.put("lectura", "catalogo", 2000)
	kerneltest.WaitUntil(t, waitTimeout, "new version at the node of the stopped instance", func() bool { return n.version() == v })
	if n.endpoints("catalogo") != 2 {
		t.Fatalf("node holds %d endpoints, want 2", n.endpoints("catalogo"))
	}
}
