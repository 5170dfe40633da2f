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

// Service is one service with its upstreams.
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
	// LinkAddress returns the address at which the processes of a zone reach a control instance. If
	// LinkAddress is nil, they use the instance's own address.
	LinkAddress func(fromZone, instance, address string) string
	// Voters is the number of control instances that are voters of the quorum. Only these have a data
	// folder.
	Voters int
	// LogLevel is the log level of all processes.
	LogLevel string
	// Seed makes random choices reproducible.
	Seed uint64
	// The following fields hold settings, by section and field, for all control instances, for all
	// nodes and for all upstreams. They replace or extend the derived settings.
	ControlSettings, NodeSettings, UpstreamSettings map[string]map[string]any
}

// Process is one process with its settings.
type Process struct {
	Name string
	Zone string
	// Service is the service of a node or an upstream; empty for a control instance.
	Service string
	// AdminAddress is the IP:port of the listener for metrics.
	AdminAddress string
	// CallersAddress is the IP:port of a node's listener for callers.
	CallersAddress string
	// ReportAddress is the IP:port of the listener at which an upstream reports its executions.
	ReportAddress string
	// OperatorsAddress is the IP:port of a control instance's listener for operators.
	OperatorsAddress string
	// Settings holds the settings of the process, by section and field.
	Settings map[string]any
}

// Fleet is the derived set of processes.
type Fleet struct {
	Spec     Spec
	Controls []Process
	// Nodes holds one node for each upstream, in the order of Upstreams.
	Nodes     []Process
	Upstreams []Process
	// KeyFile is the path of the file with the fleet key.
	KeyFile string
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

// Build derives the processes of a fleet. Its calls of AllocateAddress have a fixed order, so that the
// same Spec and sequence of addresses give the same fleet.
func Build(s Spec) *Fleet {
	f := &Fleet{Spec: s, KeyFile: filepath.Join(s.Folder, "fleet.key"), TokensFile: filepath.Join(s.Folder, "tokens.json")}
	var controls []controlInstance
	for _, z := range s.Zones {
		for i := range z.Controls {
			controls = append(controls, controlInstance{
				name: fmt.Sprintf("control-%s-%d", z.Name, i+1), zone: z, peerAddress: s.AllocateAddress(), isVoter: len(controls) < s.Voters,
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

// controlInstance is a control instance whose settings have not been derived yet.
type controlInstance struct {
	name        string
	zone        Zone
	peerAddress string
	isVoter     bool
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
		announceAddress, callersAddress := f.Spec.AllocateAddress(), f.Spec.AllocateAddress()
		f.Nodes = append(f.Nodes, f.newNode("node-"+name, z, svc, announceAddress, callersAddress, controls))
		f.Upstreams = append(f.Upstreams, f.newUpstream("up-"+name, z, svc, announceAddress, callersAddress))
	}
}

// peerInstances returns the setting peer/instances for the processes of a zone.
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
