package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

func (s *sim) fault(n *simNode) {
	if n.core == nil {
		return
	}
	switch k := s.rng.IntN(24); {
	case k < 8:
		s.crash(n, k < 3)
		if s.rng.IntN(3) == 0 {
			s.start(n)
		}
	case k < 11:
		s.side[n.name] = 1 + s.rng.IntN(2)
	case k < 13:
		for _, m := range s.nodes {
			s.side[m.name] = s.rng.IntN(2)
		}
	case k < 17:
		n.frozen = true
	case k < 20:
		n.slow = true
	case k < 22:
		s.contest(n.core.Leader())
	case n.core.State() == raft.Leader && !n.frozen:
		n.core.Transfer(s.local(n))
		s.drive(n)
	}
}

// crash stops an instance, perhaps in the middle of a write and with the loss of its disk.
func (s *sim) crash(n *simNode, disk bool) {
	lose := n.diskless || disk && s.mayLose(n)
	s.sync(n, false)
	n.configs = []replog.Config{n.core.Config(), n.core.CommittedConfig()}
	n.core = nil
	if lose {
		s.wipe(n)
	}
}

// contest makes several instances stand for election in the same term, as
// transfers of the lead that are repeated may do, and reboots some of the voters.
func (s *sim) contest(leader replog.MemberID) {
	for _, n := range s.nodes {
		if up(n) && s.rng.IntN(2) == 0 {
			n.core.Step(s.local(n), raft.Message{Type: raft.MsgTimeoutNow, From: leader, To: n.member, Term: n.core.Term()})
			s.drive(n)
		}
	}
	for range 40 {
		s.deliver()
		if n := s.nodes[s.rng.IntN(len(s.nodes))]; up(n) && s.rng.IntN(8) == 0 {
			s.crash(n, false)
			s.start(n)
		} else {
			s.sync(n, true)
		}
	}
}

// wipe gives the instance an empty disk and with it a new identity.
func (s *sim) wipe(n *simNode) {
	s.lost[n.disk.member] = true
	s.nextID++
	n.disk = &simDisk{member: s.nextID}
	n.member = s.nextID
}

// mayLose reports whether every configuration that may be in force survives the
// loss of the instance's disk.
func (s *sim) mayLose(n *simNode) bool {
	for _, m := range s.nodes {
		configs := m.configs
		if m.core != nil {
			configs = []replog.Config{m.core.Config(), m.core.CommittedConfig()}
		}
		for _, config := range configs {
			voters, gone := config.Voters(), 0
			for _, id := range voters {
				if s.lost[id] || id == n.disk.member {
					gone++
				}
			}
			if gone > (len(voters)-1)/2 {
				return false
			}
		}
	}
	return true
}
