package layout

import (
	"maps"
	"path/filepath"
)

// section is one section of a settings file.
type section = map[string]any

// dataFolder returns the data folder of a control instance.
func (f *Fleet) dataFolder(name string) string { return filepath.Join(f.Spec.Folder, "data-"+name) }

func (f *Fleet) instanceSection(name string, z Zone) section {
	s := section{"name": name, "availability_zone": z.Name, "region": z.Region, "fleet_key_file": f.KeyFile}
	if f.Spec.LogLevel != "" {
		s["log_level"] = f.Spec.LogLevel
	}
	if f.Spec.Seed != 0 {
		s["seed"] = f.Spec.Seed
	}
	return s
}

func (f *Fleet) newControl(m controlInstance, controls []controlInstance) Process {
	p := Process{Name: m.name, Zone: m.zone.Name, AdminAddress: f.Spec.AllocateAddress(), OperatorsAddress: f.Spec.AllocateAddress()}
	instance := f.instanceSection(m.name, m.zone)
	var voters []string
	for _, v := range controls {
		if v.isVoter {
			voters = append(voters, v.name)
		}
	}
	if m.isVoter {
		instance["data_folder"] = f.dataFolder(m.name)
	}
	p.Settings = extend(map[string]any{
		"instance": instance,
		"admin":    section{"listen": p.AdminAddress},
		"peer":     section{"listen": m.peerAddress, "instances": f.peerInstances(m.zone.Name, controls)},
		"quorum":   section{"voters": voters},
		"operator": section{"listen": p.OperatorsAddress, "tokens_file": f.TokensFile},
	}, f.Spec.ControlSettings)
	return p
}

func (f *Fleet) newNode(name string, z Zone, svc Service, announceAddress, callersAddress string, controls []controlInstance) Process {
	p := Process{Name: name, Zone: z.Name, Service: svc.Name, AdminAddress: f.Spec.AllocateAddress(), CallersAddress: callersAddress}
	inbound := f.Spec.AllocateAddress()
	p.Settings = extend(map[string]any{
		"instance": f.instanceSection(name, z),
		"admin":    section{"listen": p.AdminAddress},
		"peer":     section{"instances": f.peerInstances(z.Name, controls)},
		"announce": section{"listen": announceAddress, "address": inbound},
		"outbound": section{"listen": callersAddress},
		"inbound":  section{"listen": inbound},
	}, f.Spec.NodeSettings)
	return p
}

func (f *Fleet) newUpstream(name string, z Zone, svc Service, announceAddress, callersAddress string) Process {
	p := Process{Name: name, Zone: z.Name, Service: svc.Name, AdminAddress: f.Spec.AllocateAddress(), ReportAddress: f.Spec.AllocateAddress()}
	instance := f.instanceSection(name, z)
	delete(instance, "fleet_key_file") // an upstream is not a process of the fleet
	p.Settings = extend(map[string]any{
		"instance": instance,
		"admin":    section{"listen": p.AdminAddress},
		"standin": section{
			"service": svc.Name, "listen": f.Spec.AllocateAddress(), "report": p.ReportAddress, "node": announceAddress, "slots": svc.Slots,
			"chain": section{"node": callersAddress, "host": svc.Host()},
		},
	}, f.Spec.UpstreamSettings)
	return p
}

// extend sets the fields of overrides in the sections of settings, and adds missing sections.
func extend(settings map[string]any, overrides map[string]map[string]any) map[string]any {
	for name, fields := range overrides {
		s, ok := settings[name].(section)
		if !ok {
			s = section{}
			settings[name] = s
		}
		maps.Copy(s, fields)
	}
	return settings
}
