package quorum

import (
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// injectFault injects a random fault of the instance, a network partition, a leadership transfer, or
// elections of several instances at once. It does nothing if the instance is not running.
func (s *sim) injectFault(n *simNode) {
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
		s.partition[n.name] = 1 + s.rng.IntN(2)
	case k < 13:
		for _, m := range s.nodes {
			s.partition[m.name] = s.rng.IntN(2)
		}
	case k < 17:
		n.frozen = true
	case k < 20:
		n.slowDisk = true
	case k < 22:
		s.forceElections(n.core.Leader())
	case n.core.State() == raft.Leader && !n.frozen:
		n.core.TransferLeadership(s.localTime(n))
		s.handleReady(n)
	}
}

// crash stops an instance, possibly in the middle of a write. A diskless instance also loses its
// disk. Any other instance loses its disk if wipe is set and the group can survive the loss.
func (s *sim) crash(n *simNode, wipe bool) {
	lose := n.diskless || wipe && s.canLoseDisk(n)
	s.sync(n, false)
	n.crashConfigs = []replog.Config{n.core.Config(), n.core.CommittedConfig()}
	n.core = nil
	if lose {
		s.wipeDisk(n)
	}
}

// forceElections makes several instances campaign in the same term, as repeated leadership
// transfers may do, and restarts some of the voters.
func (s *sim) forceElections(leader replog.MemberID) {
	for _, n := range s.nodes {
		if isUp(n) && s.rng.IntN(2) == 0 {
			n.core.Step(s.localTime(n), raft.Message{Type: raft.MsgTimeoutNow, From: leader, To: n.member, Term: n.core.Term()})
			s.handleReady(n)
		}
	}
	for range 40 {
		s.deliver()
		if n := s.nodes[s.rng.IntN(len(s.nodes))]; isUp(n) && s.rng.IntN(8) == 0 {
			s.crash(n, false)
			s.start(n)
		} else {
			s.sync(n, true)
		}
	}
}

// wipeDisk gives the instance an empty disk and a new member ID.
func (s *sim) wipeDisk(n *simNode) {
	s.lostDisks[n.disk.member] = true
	s.nextID++
	n.disk = &simDisk{member: s.nextID}
	n.member = s.nextID
}

// canLoseDisk reports whether every configuration that may be in force keeps a majority
// without the instance's disk.
func (s *sim) canLoseDisk(n *simNode) bool {
	for _, m := range s.nodes {
		configs := m.crashConfigs
		if m.core != nil {
			configs = []replog.Config{m.core.Config(), m.core.CommittedConfig()}
		}
		for _, config := range configs {
			voters, lost := config.VoterIDs(), 0
			for _, id := range voters {
				if s.lostDisks[id] || id == n.disk.member {
					lost++
				}
			}
			if lost > (len(voters)-1)/2 {
				return false
			}
		}
	}
	return true
}
