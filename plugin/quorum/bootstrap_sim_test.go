package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// bootstrapSim forms an open group among the first instances of a sim, as
// requestBootstrap, runBootstrapStep and onBootstrap do.
type bootstrapSim struct {
	*sim
	initialVoters []string
	// states holds the bootstrap state of each process, by its core; nil once the process
	// no longer bootstraps.
	states map[*raft.Core]*bootstrapState
	// responses holds the responses in flight.
	responses []inFlightResponse
	// formed holds the first configurations that have reached a disk, by member.
	formed map[replog.MemberID]string
	// wiped is the name of the instance that has lost its disk. There is at most one: two lost disks would be a majority
	// of the group.
	wiped string
	// toldOnce is set if only the first start of an instance is told to form a group. Instances that were killed before
	// their first write are then never told, except the one that composes the configuration.
	toldOnce bool
}

// inFlightResponse is a response in the simulated network. It is delivered only while the
// process that sent the request, identified by its core, is still running.
type inFlightResponse struct {
	to       *simNode
	core     *raft.Core
	from     string
	round    uint64
	response bootstrapResponse
}

// newBootstrapSim returns a sim whose instances are not started yet.
func newBootstrapSim(seed uint64, instances int) *bootstrapSim {
	b := &bootstrapSim{sim: newEmptySim(seed), states: map[*raft.Core]*bootstrapState{}, formed: map[replog.MemberID]string{}}
	b.openVoterCount, b.externalFaults, b.toldOnce = 3, true, seed%2 == 1
	for i := range instances {
		n := b.addInstance()
		if i < b.openVoterCount {
			b.initialVoters = append(b.initialVoters, n.name)
		}
	}
	return b
}

// stateOf returns the bootstrap state of an instance, nil if its log is not empty.
func (b *bootstrapSim) stateOf(n *simNode) *bootstrapState {
	if n.core == nil || n.diskless || len(b.initialVoters) == 0 {
		return nil
	}
	state, known := b.states[n.core]
	if !known {
		b.initialize(n)
		switch {
		case len(n.core.Config().Members) > 0:
		case n.disk.founder:
			state = newBootstrapState(replog.Member{ID: n.member, Name: n.name}, true, b.initialVoters)
		case b.toldOnce:
			state = newBootstrapState(replog.Member{ID: n.member, Name: n.name}, false, nil)
		}
		b.states[n.core] = state
	}
	return state
}

// initialize carries out the first write to the disk of an instance, as Quorum.initialize does.
func (b *bootstrapSim) initialize(n *simNode) {
	if n.disk.used && b.toldOnce {
		return
	}
	isTold := !b.toldOnce || n == b.nodes[0] || n.name != b.wiped && b.rng.IntN(3) > 0
	n.disk.used = true
	n.disk.founder = isTold && slices.Contains(b.initialVoters, n.name)
}

// sendRequest sends a request to a random instance. The response may arrive late or never.
func (b *bootstrapSim) sendRequest(n *simNode) {
	state := b.stateOf(n)
	m := b.nodes[b.rng.IntN(len(b.nodes))]
	if state == nil || !isUp(n) || !isUp(m) || m == n || b.partition[n.name] != b.partition[m.name] {
		return
	}
	b.responses = append(b.responses, inFlightResponse{n, n.core, m.name, state.round, b.stateOf(m).newResponse(m.core, m.member, n.name, n.member)})
}

// deliverResponse delivers or drops a random response in flight.
func (b *bootstrapSim) deliverResponse() {
	if len(b.responses) == 0 {
		return
	}
	i := b.rng.IntN(len(b.responses))
	response := b.responses[i]
	b.responses = append(b.responses[:i], b.responses[i+1:]...)
	state := b.stateOf(response.to)
	if response.to.core != response.core || state == nil || response.to.frozen || b.rng.IntN(8) == 0 {
		return
	}
	switch step, config := state.handleResponse(response.round, response.from, response.response); step {
	case bootstrapWait:
		return
	case bootstrapForm:
		if response.to.core.Bootstrap(b.localTime(response.to), config) {
			b.handleReady(response.to)
		}
	}
	b.states[response.core] = nil
}

// injectFault injects a fault or ends one. At most one disk is lost, and only before the group has
// committed an entry, because two lost disks would be a majority of the group that is being
// formed.
func (b *bootstrapSim) injectFault(n *simNode) {
	if b.rng.IntN(2) == 0 {
		n = b.nodes[0] // the instance that composes the configuration
	}
	switch k := b.rng.IntN(10); {
	case n.core == nil:
		b.start(n)
	case k < 4:
		lose := b.wiped == "" && b.highestCommitIndex() == 0 && b.rng.IntN(2) == 0 && !(b.toldOnce && n == b.nodes[0])
		b.crash(n, false)
		if lose {
			b.wiped = n.name
			b.wipeDisk(n)
		}
		if b.rng.IntN(2) == 0 {
			b.start(n)
		}
	case k < 6:
		b.partition[n.name] = b.rng.IntN(2)
	case k < 8:
		n.frozen = !n.frozen
	default:
		clear(b.partition)
	}
}

// recordFormed records the first configurations that are on the disks.
func (b *bootstrapSim) recordFormed() {
	for _, n := range b.nodes {
		if n.disk.snapshot.Index == 1 {
			b.formed[n.disk.member] = fmt.Sprint(n.disk.snapshot.Config)
		}
	}
}

func runBootstrap(seed uint64) *sim {
	b := newBootstrapSim(seed, 3+int(seed%3))
	order := b.rng.Perm(len(b.nodes))
	for i := 0; i < 1500 && b.err == nil; i++ {
		if len(order) > 0 && b.rng.IntN(20) == 0 { // instances start one after the other
			b.start(b.nodes[order[0]])
			order = order[1:]
		}
		b.step()
		b.recordFormed()
		n := b.nodes[b.rng.IntN(len(b.nodes))]
		switch k := b.rng.IntN(100); {
		case k < 20:
			b.sendRequest(n)
		case k < 30:
			b.deliverResponse()
		case k < 33 && len(order) == 0:
			b.injectFault(n)
		}
	}
	b.faultFree = true
	clear(b.partition)
	for _, n := range b.nodes {
		n.frozen = false
		if n.core == nil {
			b.start(n)
		}
	}
	for i := 0; i < 100000 && b.err == nil && (i%500 > 0 || b.openUnsettledReason() != ""); i++ {
		b.step()
		b.recordFormed()
		b.sendRequest(b.nodes[b.rng.IntN(len(b.nodes))])
		b.deliverResponse()
	}
	group := ""
	for id, config := range b.formed {
		if b.lostDisks[id] {
			continue
		}
		if group != "" && group != config {
			b.failf("two groups were formed: %v", b.formed)
		}
		group = config
	}
	if b.err == nil {
		b.settleUntil(b.openUnsettledReason, 1000)
	}
	return b.sim
}

// Guards against two groups, or none, when instances bootstrap in any order while one of
// them loses its disk, instances crash, freeze or are partitioned, and responses are late. In every
// second run, an instance that was killed is not told again to form the group.
func TestBootstrapUnderFaults(t *testing.T) { checkRuns(t, 41, 400, runBootstrap) }
