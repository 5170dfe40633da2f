package experiment

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/plugin/experiment/relay"
)

// readyLimit bounds the start of a fleet.
const readyLimit = 60 * time.Second

// fleetKey is the fleet key of experiments; it protects nothing else.
const fleetKey = "experiment-fleet-key-0123456789"

// fleetOptions describes a fleet of an experiment.
type fleetOptions struct {
	nodes int
	// control holds settings of the control instances, node those of the nodes.
	control, node, upstream map[string]map[string]any
	// upstreams starts a stand-in beside each node.
	upstreams bool
	// relays puts a relay between each zone and each control instance.
	relays bool
	// services replaces the four services of today; their endpoints are set so
	// that there are as many as nodes.
	services []layout.Service
	// logLevel is that of all processes; empty means "error". logOutput takes what
	// they write through a writer of each process; nil means the experiment's own log.
	logLevel  string
	logOutput io.Writer
}

// fleet is a running fleet of kernels.
type fleet struct {
	e         *env
	plan      *layout.Fleet
	controls  []*process
	nodes     []*process
	upstreams []*process
	relays    map[string]*relay.Relay
	track     *tracker
	ops       *operators
	timeouts  int
	// logs are the writers of the processes when there is an output for them.
	logs []*event.Writer
}

// newFleet starts a fleet of three control instances with disks in three zones,
// submits the template and the teams of both organisations, and waits until all
// nodes serve them. The caller calls stop, also after an error.
func newFleet(e *env, o fleetOptions) (*fleet, error) {
	f := &fleet{e: e, relays: map[string]*relay.Relay{}, timeouts: 5000}
	if o.node == nil {
		// Without callers no call is on its way when a node stops.
		o.node = map[string]map[string]any{"announce": {"linger": "50ms"}}
	}
	if o.logLevel == "" {
		o.logLevel = "error"
	}
	services := o.services
	if services == nil {
		_, services = layout.Current()
	}
	share(services, o.nodes)
	dir, err := os.MkdirTemp(e.dir, "fleet-")
	if err != nil {
		return f, err
	}
	spec := layout.Spec{
		Zones: []layout.Zone{
			{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "cant-b", Region: "cantabrico", Controls: 1},
			{Name: "gorenjska-a", Region: "gorenjska", Controls: 1},
		},
		Services: services, Folder: dir, Address: e.address, Voters: 3, LogLevel: o.logLevel, Seed: e.s.Seed,
		Control: o.control, Node: o.node, Upstream: o.upstream,
	}
	if o.relays {
		spec.Zones = append(spec.Zones, layout.Zone{Name: reconnectZone, Region: "cantabrico"})
		spec.Link = f.link
	}
	f.plan = layout.Build(spec)
	for i := range f.plan.Upstreams {
		chain := f.plan.Upstreams[i].Settings["standin"].(map[string]any)["chain"].(map[string]any)
		chain["direct"] = f.standin((i + 1) % len(f.plan.Upstreams))
	}
	if err := f.files(); err != nil {
		return f, err
	}
	f.track = newTracker(len(f.plan.Controls), len(f.plan.Nodes))
	f.ops = newOperators(f.plan)
	if err := f.startAll(o); err != nil {
		return f, err
	}
	return f, f.configure()
}

// share spreads n endpoints over the services of all zones.
func share(services []layout.Service, n int) {
	for i := range services {
		services[i].Zones = nil
		services[i].Endpoints = n / len(services)
		if i < n%len(services) {
			services[i].Endpoints++
		}
	}
}

// link puts a relay between a zone and a control instance. A relay that cannot
// be started leaves the direct address, and the scenario misses it by its key.
func (f *fleet) link(zone, instance, address string) string {
	key := zone + ">" + instance
	if r := f.relays[key]; r != nil {
		return r.Address
	}
	r, err := relay.New(f.e.address(), address, 0)
	if err != nil {
		return address
	}
	f.relays[key] = r
	return r.Address
}

func (f *fleet) files() error {
	tokens, err := json.Marshal(layout.Tokens())
	if err != nil {
		return err
	}
	err = os.WriteFile(f.plan.KeyFile, []byte(fleetKey), 0o600)
	err = errors.CombineErrors(err, os.WriteFile(f.plan.TokensFile, tokens, 0o600))
	for _, p := range f.plan.Controls {
		if folder, ok := p.Settings["instance"].(map[string]any)["data_folder"].(string); ok {
			err = errors.CombineErrors(err, os.MkdirAll(folder, 0o700))
		}
	}
	return err
}

func (f *fleet) startAll(o fleetOptions) error {
	for i, p := range f.plan.Controls {
		c, err := f.process(o, p.Name, Programs.Control, p.Settings)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, c)
		if err := f.startControl(i, true); err != nil {
			return err
		}
	}
	for i, p := range f.plan.Nodes {
		n, err := f.process(o, p.Name, Programs.Node, p.Settings)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	if !o.upstreams {
		return nil
	}
	for _, p := range f.plan.Upstreams {
		u, err := f.process(o, p.Name, Programs.Upstream, p.Settings)
		if err != nil {
			return err
		}
		f.upstreams = append(f.upstreams, u)
		if err := u.start(false, nil); err != nil {
			return err
		}
	}
	return nil
}

// process is a process of the fleet with its log.
func (f *fleet) process(o fleetOptions, name string, plugins []string, sections map[string]any) (*process, error) {
	p, err := f.e.process(name, plugins, sections)
	if err == nil && o.logOutput != nil {
		w := event.NewWriter(o.logOutput)
		f.logs = append(f.logs, w)
		p.log = w
	}
	return p, err
}

func (f *fleet) startControl(i int, bootstrap bool) error {
	return f.controls[i].start(bootstrap, func(k *kernel.Kernel) {
		if c, ok := k.Service("catalog").(interface {
			Watch(func(resource.Version))
		}); ok {
			c.Watch(func(v resource.Version) { f.track.accepted(i, v) })
		}
	})
}

func (f *fleet) startNode(i int) error {
	return f.nodes[i].start(false, func(k *kernel.Kernel) {
		if v, ok := k.Service("view").(interface {
			Watch(func(*resource.Snapshot))
		}); ok {
			v.Watch(func(s *resource.Snapshot) { f.track.served(i, s.Version) })
		}
	})
}

// configure submits the first configuration and waits until it is in force.
func (f *fleet) configure() error {
	if err := f.ops.put(f.e, "tacto-norte", "template", layout.TemplateName, layout.Template()); err != nil {
		return err
	}
	for _, s := range f.plan.Spec.Services {
		if err := f.ops.put(f.e, s.Organisation, "team", s.Name, layout.Team(s, f.timeouts, nil)); err != nil {
			return err
		}
	}
	return f.converge(f.ops.version, readyLimit)
}

// converge waits until all running nodes serve at least version v.
func (f *fleet) converge(v resource.Version, limit time.Duration) error {
	return f.e.until(limit, fmt.Sprintf("all nodes serve version %d", v), func() bool {
		for i, n := range f.nodes {
			if n.kernel != nil && f.track.at(i) < v {
				return false
			}
		}
		return true
	})
}

// stop stops everything; nodes leave before the control instances.
func (f *fleet) stop() error {
	var err error
	for _, list := range [][]*process{f.upstreams, f.nodes, f.controls} {
		errs := make(chan error, len(list))
		for _, p := range list {
			go func() { errs <- p.stop() }()
		}
		for range list {
			err = errors.CombineErrors(err, <-errs)
		}
	}
	for _, r := range f.relays {
		r.Close()
	}
	return err
}
