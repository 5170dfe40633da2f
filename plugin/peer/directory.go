package peer

import (
	"net/netip"
	"slices"
)

// maxLearned bounds the instances that are learned beside those of the settings;
// a fleet has at most 16 control instances, and replaced ones are forgotten.
const maxLearned = 64

// directory is the table of known control instances: those of the settings and
// those that were learned since. Peer.mu guards it.
type directory struct {
	list []Member
	// watchers are told of each learned instance; they are set before Start.
	watchers []func(Member)
}

// newDirectory lists the instances of the settings. A seed is named by its host,
// which is how instances without a list of names call themselves.
func newDirectory(s *Settings) directory {
	d := directory{list: slices.Clone(s.Instances)}
	for _, seed := range s.Seeds {
		if m, ok := s.seed(seed); ok {
			d.add(m)
		}
	}
	return d
}

// seed returns the instance at a seed address.
func (s *Settings) seed(address string) (Member, bool) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || s.SeedPort == 0 {
		return Member{}, false
	}
	return s.named(at.Addr().String())
}

// named returns the instance whose name is its host address.
func (s *Settings) named(name string) (Member, bool) {
	host, err := netip.ParseAddr(name)
	if err != nil || s.SeedPort == 0 {
		return Member{}, false
	}
	return Member{Name: name, Address: netip.AddrPortFrom(host, uint16(s.SeedPort)).String()}, true
}

// add enters an instance or completes its zone, and reports what changed.
func (d *directory) add(m Member) (added, changed bool) {
	for i := range d.list {
		if d.list[i].Name != m.Name {
			continue
		}
		if m.AvailabilityZone == "" || d.list[i].AvailabilityZone == m.AvailabilityZone {
			return false, false
		}
		d.list[i].AvailabilityZone = m.AvailabilityZone
		return false, true
	}
	if len(d.list) >= maxLearned {
		return false, false
	}
	d.list = append(d.list, m)
	return true, true
}

// Open reports whether control instances may be learned at run time.
func (p *Peer) Open() bool { return p.s.SeedPort != 0 }

// SeedNames returns the instance names of the seeds, in their order.
func (p *Peer) SeedNames() []string {
	var names []string
	for _, seed := range p.s.Seeds {
		if m, ok := p.s.seed(seed); ok {
			names = append(names, m.Name)
		}
	}
	return names
}

// Instances returns the control instances that are known.
func (p *Peer) Instances() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.directory.list)
}

// OnInstance adds a function that is called in a job with each instance that is
// learned or whose zone becomes known. It is set before Start.
func (p *Peer) OnInstance(f func(Member)) {
	p.directory.watchers = append(p.directory.watchers, f)
}

// Learn enters instances that another process named. It does nothing unless the
// fleet is open.
func (p *Peer) Learn(members ...Member) {
	if !p.Open() {
		return
	}
	var news []Member
	p.mu.Lock()
	for _, m := range members {
		if _, ok := p.s.named(m.Name); !ok {
			continue
		}
		if added, changed := p.directory.add(m); added || changed {
			news = append(news, m)
		}
	}
	p.mu.Unlock()
	for _, m := range news {
		p.c.Log.Log(evLearned).Str("process", m.Name).Str("process_zone", m.AvailabilityZone).Send()
		run := func() {
			for _, f := range p.directory.watchers {
				f(m)
			}
		}
		if p.c.Next(directoryKey, run) != nil {
			p.c.After(0, directoryKey, run)
		}
	}
}

// LearnName enters an instance that is named by its host address.
func (p *Peer) LearnName(name, zone string) {
	if m, ok := p.s.named(name); ok {
		m.AvailabilityZone = zone
		p.Learn(m)
	}
}

// directoryKey orders the notifications of learned instances.
const directoryKey = "peer/directory"

// Reload implements kernel.Reloader: the seeds may change while the process runs.
func (p *Peer) Reload(s any) {
	next := s.(*Settings)
	for _, seed := range next.Seeds {
		if m, ok := next.seed(seed); ok {
			p.Learn(m)
		}
	}
}
