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

// readyTimeout bounds the time until the nodes of a started fleet serve the first configuration, and
// the time until calls through a node succeed.
const readyTimeout = 60 * time.Second

// fleetKey is the fleet key of experiments. It need not be secret, since nothing else uses it.
const fleetKey = "experiment-fleet-key-0123456789"

// fleetOptions describes a fleet of an experiment.
type fleetOptions struct {
	// nodes is the number of nodes, each beside one endpoint.
	nodes int
	// The following maps override settings of the control instances, the nodes and the stand-ins, by
	// section and field.
	controlSettings, nodeSettings, upstreamSettings map[string]map[string]any
	// startUpstreams starts a stand-in upstream beside each node.
	startUpstreams bool
	// withRelays adds reconnectZone and a relay between each zone and each control instance.
	withRelays bool
	// services replaces the services of the current deployment. newFleet sets their numbers of
	// endpoints, so that there are as many endpoints as nodes.
	services []layout.Service
	// logLevel is the log level of all processes; empty means "error".
	logLevel string
	// logOutput receives the logs of all processes, through one event.Writer for each process. If it
	// is nil, the logs go to env.log.
	logOutput io.Writer
}

// fleet is a running fleet whose processes are kernels inside this process.
type fleet struct {
	e         *env
	plan      *layout.Fleet
	controls  []*process
	nodes     []*process
	upstreams []*process
	relays    map[string]*relay.Relay
	tracker   *tracker
	operator  *operatorClient
	// timeoutMillis is the route timeout in the latest revision of any team. It is incremented before
	// each change, so that every change differs from the earlier ones.
	timeoutMillis int
	// logWriters are the log writers of the processes; empty if fleetOptions.logOutput is nil.
	logWriters []*event.Writer
}

// newFleet starts a fleet with one control instance in each of three zones, submits the template and
// the teams of both organisations, and waits until all nodes serve them. The control instances store
// their data on disk. The caller must call stop, even after an error.
func newFleet(e *env, o fleetOptions) (*fleet, error) {
	f := &fleet{e: e, relays: map[string]*relay.Relay{}, timeoutMillis: 5000}
	if o.nodeSettings == nil {
		// Without callers, no calls are in flight when a node stops, so that it need not linger.
		o.nodeSettings = map[string]map[string]any{"announce": {"linger": "50ms"}}
	}
	if o.logLevel == "" {
		o.logLevel = "error"
	}
	services := o.services
	if services == nil {
		_, services = layout.CurrentDeployment()
	}
	distributeEndpoints(services, o.nodes)
	dir, err := os.MkdirTemp(e.dir, "fleet-")
	if err != nil {
		return f, err
	}
	spec := layout.Spec{
		Zones: []layout.Zone{
			{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "cant-b", Region: "cantabrico", Controls: 1},
			{Name: "gorenjska-a", Region: "gorenjska", Controls: 1},
		},
		Services: services, Folder: dir, AllocateAddress: e.freeAddress, Voters: 3, LogLevel: o.logLevel, Seed: e.s.Seed,
		ControlSettings: o.controlSettings, NodeSettings: o.nodeSettings, UpstreamSettings: o.upstreamSettings,
	}
	if o.withRelays {
		spec.Zones = append(spec.Zones, layout.Zone{Name: reconnectZone, Region: "cantabrico"})
		spec.LinkAddress = f.addRelay
	}
	f.plan = layout.Build(spec)
	for i := range f.plan.Upstreams {
		chain := f.plan.Upstreams[i].Settings["standin"].(map[string]any)["chain"].(map[string]any)
		chain["direct"] = f.standinAddress((i + 1) % len(f.plan.Upstreams))
	}
	if err := f.writeFiles(); err != nil {
		return f, err
	}
	f.tracker = newTracker(len(f.plan.Controls), len(f.plan.Nodes))
	f.operator = newOperatorClient(f.plan)
	if err := f.startProcesses(o); err != nil {
		return f, err
	}
	return f, f.configure()
}

// distributeEndpoints distributes n endpoints evenly over the services and all zones.
func distributeEndpoints(services []layout.Service, n int) {
	for i := range services {
		services[i].Zones = nil
		services[i].Endpoints = n / len(services)
		if i < n%len(services) {
			services[i].Endpoints++
		}
	}
}

// addRelay returns the address of the relay between a zone and a control instance. It starts the
// relay if there is none yet. If the start fails, it returns the instance's own address.
func (f *fleet) addRelay(zone, instance, address string) string {
	key := zone + ">" + instance
	if r := f.relays[key]; r != nil {
		return r.Address
	}
	r, err := relay.New(f.e.freeAddress(), address, 0)
	if err != nil {
		return address
	}
	f.relays[key] = r
	return r.Address
}

// writeFiles writes the key and token files and creates the data folders.
func (f *fleet) writeFiles() error {
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

func (f *fleet) startProcesses(o fleetOptions) error {
	for i, p := range f.plan.Controls {
		c, err := f.newProcess(o, p.Name, ProgramPlugins.Control, p.Settings)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, c)
		if err := f.startControl(i, true); err != nil {
			return err
		}
	}
	for i, p := range f.plan.Nodes {
		n, err := f.newProcess(o, p.Name, ProgramPlugins.Node, p.Settings)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	if !o.startUpstreams {
		return nil
	}
	for _, p := range f.plan.Upstreams {
		u, err := f.newProcess(o, p.Name, ProgramPlugins.Upstream, p.Settings)
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

// newProcess creates a process of the fleet without starting it. The process logs to o.logOutput if
// that is set.
func (f *fleet) newProcess(o fleetOptions, name string, plugins []string, sections map[string]any) (*process, error) {
	p, err := f.e.newProcess(name, plugins, sections)
	if err == nil && o.logOutput != nil {
		w := event.NewWriter(o.logOutput)
		f.logWriters = append(f.logWriters, w)
		p.log = w
	}
	return p, err
}

// startControl starts a control instance and records the versions that it accepts.
func (f *fleet) startControl(i int, bootstrap bool) error {
	return f.controls[i].start(bootstrap, func(k *kernel.Kernel) {
		if c, ok := k.Plugin("catalog").(interface {
			Watch(func(resource.Version))
		}); ok {
			c.Watch(func(v resource.Version) { f.tracker.recordAccepted(i, v) })
		}
	})
}

// startNode starts a node and records the versions that it serves.
func (f *fleet) startNode(i int) error {
	return f.nodes[i].start(false, func(k *kernel.Kernel) {
		if v, ok := k.Plugin("view").(interface {
			Watch(func(*resource.Snapshot))
		}); ok {
			v.Watch(func(s *resource.Snapshot) { f.tracker.recordServed(i, s.Version) })
		}
	})
}

// configure submits the first configuration and waits until all nodes serve it.
func (f *fleet) configure() error {
	if err := f.operator.put(f.e, "tacto-norte", "template", layout.TemplateName, layout.Template()); err != nil {
		return err
	}
	for _, s := range f.plan.Spec.Services {
		if err := f.operator.put(f.e, s.Organisation, "team", s.Name, layout.Team(s, f.timeoutMillis, nil)); err != nil {
			return err
		}
	}
	return f.waitForVersion(f.operator.lastVersion, readyTimeout)
}

// waitForVersion waits until all running nodes serve at least version v.
func (f *fleet) waitForVersion(v resource.Version, timeout time.Duration) error {
	return f.e.waitUntil(timeout, fmt.Sprintf("all nodes serve version %d", v), func() bool {
		for i, n := range f.nodes {
			if n.kernel != nil && f.tracker.nodeVersion(i) < v {
				return false
			}
		}
		return true
	})
}

// stop stops the upstreams, then the nodes, then the control instances, and then the relays.
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
