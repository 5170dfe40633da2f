// Package layout derives the settings of all processes of a fleet from its zones and
// services. Tests and experiments both use it, so that they run the fleet that the example
// settings describe. It does no I/O.
package layout

import (
	"fmt"
	"path/filepath"
	"slices"
)

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
	// Controls is the number of control instances in the zone.
	Controls int
}

// Service is one service of upstreams.
type Service struct {
	Name         string
	Organisation string
	// Endpoints is the number of upstreams, which are distributed over Zones.
	Endpoints int
	// Slots is the number of calls that an upstream executes concurrently.
	Slots int
	// Zones names the zones of the upstreams; empty means all zones.
	Zones []string
}

// Host returns the host of the service's routes.
func (s *Service) Host() string { return s.Name + "." + s.Organisation + ".example" }

// Spec describes a fleet.
type Spec struct {
	Zones    []Zone
	Services []Service
	// Folder is the folder for the key file, the tokens file and the data folders.
	Folder string
	// AllocateAddress returns an unused IP:port.
	AllocateAddress func() string
	// LinkAddress returns the address at which the processes of a zone reach a control instance; if it
	// is nil, they use the instance's own address.
	LinkAddress func(fromZone, instance, address string) string
	// Voters is the number of control instances that are voters and have a data folder.
	Voters int
	// LogLevel is the log level of all processes.
	LogLevel string
	// Seed makes random choices reproducible.
	Seed uint64
	// Control, Node and Upstream hold settings by section and field that replace or extend
	// those of all control instances, nodes and upstreams.
	Control, Node, Upstream map[string]map[string]any
}

// Process is one process with its settings.
type Process struct {
	Name    string
	Zone    string
	Service string
	// The following are the addresses (IP:port) of the listeners for metrics (all processes),
	// callers (nodes), the report of executions (upstreams) and operators (control instances).
	AdminAddress     string
	CallersAddress   string
	ReportAddress    string
	OperatorsAddress string
	Settings         map[string]any
}

// Fleet is the derived set of processes.
type Fleet struct {
	Spec     Spec
	Controls []Process
	// Nodes and Upstreams correspond by index.
	Nodes     []Process
	Upstreams []Process
	KeyFile   string
	// TokensFile is the path of the operators' token file, whose content Tokens returns.
	TokensFile string
}

// CurrentDeployment returns the zones and services of the current deployment.
func CurrentDeployment() ([]Zone, []Service) {
	var zones []Zone
	for _, region := range []string{"cant", "gorenjska"} {
		name := region
		if region == "cant" {
			name = "cantabrico"
		}
		for _, z := range []string{"a", "b", "c"} {
			zones = append(zones, Zone{Name: region + "-" + z, Region: name, Controls: 1})
		}
	}
	cant, gorenjska := []string{"cant-a", "cant-b", "cant-c"}, []string{"gorenjska-a", "gorenjska-b", "gorenjska-c"}
	return zones, []Service{
		{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 6, Slots: 9, Zones: cant},
		{Name: "taller", Organisation: "tacto-norte", Endpoints: 4, Slots: 9, Zones: cant},
		{Name: "order-desk", Organisation: "kranjc", Endpoints: 5, Slots: 9, Zones: gorenjska},
		{Name: "workroom", Organisation: "kranjc", Endpoints: 3, Slots: 9, Zones: gorenjska},
	}
}

// Build derives the processes of a fleet. It allocates the addresses in a fixed order.
func Build(s Spec) *Fleet {
	f := &Fleet{Spec: s, KeyFile: filepath.Join(s.Folder, "fleet.key"), TokensFile: filepath.Join(s.Folder, "tokens.json")}
	var controls []controlInstance
	for _, z := range s.Zones {
		for i := range z.Controls {
			controls = append(controls, controlInstance{
				name: fmt.Sprintf("control-%s-%d", z.Name, i+1), zone: z, peerAddress: s.AllocateAddress(), voter: len(controls) < s.Voters,
			})
		}
	}
	for _, m := range controls {
		f.Controls = append(f.Controls, f.newControl(m, controls))
	}
	for _, svc := range s.Services {
		f.addService(svc, controls)
	}
	return f
}

// controlInstance describes a control instance.
type controlInstance struct {
	name        string
	zone        Zone
	peerAddress string
	voter       bool
}

// addService adds the upstreams of a service and their nodes.
func (f *Fleet) addService(svc Service, controls []controlInstance) {
	zones := f.Spec.Zones
	if len(svc.Zones) > 0 {
		zones = slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return !slices.Contains(svc.Zones, z.Name) })
	}
	for i := range svc.Endpoints {
		z := zones[len(f.Nodes)%len(zones)]
		name := fmt.Sprintf("%s-%s-%d", svc.Name, z.Name, i+1)
		local, callers := f.Spec.AllocateAddress(), f.Spec.AllocateAddress()
		f.Nodes = append(f.Nodes, f.newNode("node-"+name, z, svc, local, callers, controls))
		f.Upstreams = append(f.Upstreams, f.newUpstream("up-"+name, z, svc, local, callers))
	}
}

// peerInstances lists the control instances with their addresses as reached from a zone.
func (f *Fleet) peerInstances(zone string, controls []controlInstance) []map[string]any {
	var list []map[string]any
	for _, m := range controls {
		address := m.peerAddress
		if f.Spec.LinkAddress != nil {
			address = f.Spec.LinkAddress(zone, m.name, m.peerAddress)
		}
		list = append(list, map[string]any{"name": m.name, "address": address, "availability_zone": m.zone.Name})
	}
	return list
}
