// Package layout derives the settings of all processes of a fleet from its
// zones and services. Tests and experiments share it, so that both run what the
// example settings describe. It does no I/O.
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
	// Endpoints is the number of upstreams; they are spread over Zones.
	Endpoints int
	// Slots is the number of calls that an upstream executes at a time.
	Slots int
	// Zones names the zones of the upstreams; empty means all.
	Zones []string
}

// Host returns the host of the service's routes.
func (s *Service) Host() string { return s.Name + "." + s.Organisation + ".example" }

// Spec describes a fleet.
type Spec struct {
	Zones    []Zone
	Services []Service
	// Folder takes keys, tokens and data folders.
	Folder string
	// Address returns a free IP:port.
	Address func() string
	// Link returns the address at which a process of one zone reaches a control
	// instance; nil means the instance's own address.
	Link func(fromZone, instance, address string) string
	// Voters is the number of control instances with a disk.
	Voters int
	// LogLevel is the level of all processes.
	LogLevel string
	// Seed makes random choices repeatable.
	Seed uint64
	// Sections holds settings that replace or extend those of all control
	// instances, nodes and upstreams.
	Control, Node, Upstream map[string]map[string]any
}

// Process is one process with its settings.
type Process struct {
	Name    string
	Zone    string
	Service string
	// Admin is IP:port of the listener for metrics; Callers and Report are those
	// for callers (nodes) and executions (upstreams), Operators for operators.
	Admin     string
	Callers   string
	Report    string
	Operators string
	Settings  map[string]any
}

// Fleet is the derived set of processes.
type Fleet struct {
	Spec     Spec
	Controls []Process
	// Nodes and Upstreams correspond by position.
	Nodes     []Process
	Upstreams []Process
	KeyFile   string
	// TokensFile is to be written with Tokens.
	TokensFile string
}

// Current returns the zones and services of the deployment of today.
func Current() ([]Zone, []Service) {
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

// Build derives the processes. Calls of s.Address come in a fixed order.
func Build(s Spec) *Fleet {
	f := &Fleet{Spec: s, KeyFile: filepath.Join(s.Folder, "fleet.key"), TokensFile: filepath.Join(s.Folder, "tokens.json")}
	var members []member
	for _, z := range s.Zones {
		for i := range z.Controls {
			members = append(members, member{
				name: fmt.Sprintf("control-%s-%d", z.Name, i+1), zone: z, peer: s.Address(), voter: len(members) < s.Voters,
			})
		}
	}
	for _, m := range members {
		f.Controls = append(f.Controls, f.control(m, members))
	}
	for _, svc := range s.Services {
		f.service(svc, members)
	}
	return f
}

// member is a control instance.
type member struct {
	name  string
	zone  Zone
	peer  string
	voter bool
}

// service adds the upstreams of a service and the nodes beside them.
func (f *Fleet) service(svc Service, members []member) {
	zones := f.Spec.Zones
	if len(svc.Zones) > 0 {
		zones = slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return !slices.Contains(svc.Zones, z.Name) })
	}
	for i := range svc.Endpoints {
		z := zones[len(f.Nodes)%len(zones)]
		name := fmt.Sprintf("%s-%s-%d", svc.Name, z.Name, i+1)
		local, callers := f.Spec.Address(), f.Spec.Address()
		f.Nodes = append(f.Nodes, f.node("node-"+name, z, svc, local, callers, members))
		f.Upstreams = append(f.Upstreams, f.upstream("up-"+name, z, svc, local, callers))
	}
}

// instances lists the control instances as seen from a zone.
func (f *Fleet) instances(zone string, members []member) []map[string]any {
	var list []map[string]any
	for _, m := range members {
		address := m.peer
		if f.Spec.Link != nil {
			address = f.Spec.Link(zone, m.name, m.peer)
		}
		list = append(list, map[string]any{"name": m.name, "address": address, "availability_zone": m.zone.Name})
	}
	return list
}
