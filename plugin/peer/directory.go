package peer

import (
	"net/netip"
	"slices"
)

// maxInstances is the number of known instances at which further ones are ignored. A fleet has at
// most 16 control instances, but replaced ones stay in the directory until the process restarts.
const maxInstances = 64

// directory is the table of known control instances: those of the settings and those learned at
// run time. Peer.mu guards members.
type directory struct {
	members []Member
	// watchers are called with each new or updated instance; they are set before Start.
	watchers []func(Member)
}

// newDirectory returns a directory with the instances and seeds of the settings. The name of a
// seed is its host address, which instances also use as their own name in an open fleet.
func newDirectory(s *Settings) directory {
	d := directory{members: slices.Clone(s.Instances)}
	for _, seed := range s.Seeds {
		if m, ok := s.seedMember(seed); ok {
			d.add(m)
		}
	}
	return d
}

// seedMember returns the instance at a seed address, or false if the address is invalid or the
// fleet is not open.
func (s *Settings) seedMember(address string) (Member, bool) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || s.SeedPort == 0 {
		return Member{}, false
	}
	return s.memberFromName(at.Addr().String())
}

// memberFromName returns the instance whose name is its host address, or false if the name is no
// IP address or the fleet is not open.
func (s *Settings) memberFromName(name string) (Member, bool) {
	host, err := netip.ParseAddr(name)
	if err != nil || s.SeedPort == 0 {
		return Member{}, false
	}
	return Member{Name: name, Address: netip.AddrPortFrom(host, uint16(s.SeedPort)).String()}, true
}

// add adds an instance, or updates the availability zone of a known one. added reports whether the
// instance is new, and changed whether the directory changed.
func (d *directory) add(m Member) (added, changed bool) {
	for i := range d.members {
		if d.members[i].Name != m.Name {
			continue
		}
		if m.AvailabilityZone == "" || d.members[i].AvailabilityZone == m.AvailabilityZone {
			return false, false
		}
		d.members[i].AvailabilityZone = m.AvailabilityZone
		return false, true
	}
	if len(d.members) >= maxInstances {
		return false, false
	}
	d.members = append(d.members, m)
	return true, true
}

// IsOpenFleet reports whether the fleet is open: its control instances are learned at run time.
func (p *Peer) IsOpenFleet() bool { return p.s.SeedPort != 0 }

// SeedNames returns the instance names of the seeds in the order of the settings.
func (p *Peer) SeedNames() []string {
	var names []string
	for _, seed := range p.s.Seeds {
		if m, ok := p.s.seedMember(seed); ok {
			names = append(names, m.Name)
		}
	}
	return names
}

// Instances returns the known control instances.
func (p *Peer) Instances() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.directory.members)
}

// OnInstanceUpdate adds a function that is called in a job with each instance that is learned or
// whose availability zone changes. It must be called before Start.
func (p *Peer) OnInstanceUpdate(f func(Member)) {
	p.directory.watchers = append(p.directory.watchers, f)
}

// Learn adds instances that another process reported. It does nothing unless the fleet is open.
func (p *Peer) Learn(members ...Member) {
	if !p.IsOpenFleet() {
		return
	}
	var updated []Member
	p.mu.Lock()
	for _, m := range members {
		if _, ok := p.s.memberFromName(m.Name); !ok {
			continue
		}
		if added, changed := p.directory.add(m); added || changed {
			updated = append(updated, m)
		}
	}
	p.mu.Unlock()
	for _, m := range updated {
		p.c.Log.Log(evInstanceLearned).Str("process", m.Name).Str("process_zone", m.AvailabilityZone).Send()
		notify := func() {
			for _, f := range p.directory.watchers {
				f(m)
			}
		}
		if p.c.TryGo(directoryJobKey, notify) != nil {
			p.c.RunAfter(0, directoryJobKey, notify)
		}
	}
}

// LearnByName adds the instance with the given name, which is its host address, and availability
// zone. Like Learn, it does nothing unless the fleet is open.
func (p *Peer) LearnByName(name, zone string) {
	if m, ok := p.s.memberFromName(name); ok {
		m.AvailabilityZone = zone
		p.Learn(m)
	}
}

// directoryJobKey is the key of the jobs that notify watchers; it makes them run one after the
// other.
const directoryJobKey = "peer/directory"

// Reload implements kernel.Reloader. It learns the instances of new seeds.
func (p *Peer) Reload(s any) {
	next := s.(*Settings)
	for _, seed := range next.Seeds {
		if m, ok := next.seedMember(seed); ok {
			p.Learn(m)
		}
	}
}
