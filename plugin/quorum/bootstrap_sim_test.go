package quorum

import (
	"fmt"
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
	formed     map[replog.MemberID]string
	wipedDisks int // number of disks wiped so far
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
	f := &bootstrapSim{sim: newEmptySim(seed), states: map[*raft.Core]*bootstrapState{}, formed: map[replog.MemberID]string{}}
	f.openVoterCount, f.externalFaults = 3, true
	for i := range instances {
		n := f.addInstance()
		if i < f.openVoterCount {
			f.initialVoters = append(f.initialVoters, n.name)
		}
	}
	return f
}

// stateOf returns the bootstrap state of an instance, nil if it doesn't bootstrap.
func (f *bootstrapSim) stateOf(n *simNode) *bootstrapState {
	if n.core == nil || n.diskless || len(f.initialVoters) == 0 {
		return nil
	}
	state, known := f.states[n.core]
	if !known {
		for _, name := range f.initialVoters {
			if name == n.name && len(n.core.Config().Members) == 0 {
				state = &bootstrapState{self: replog.Member{ID: n.member, Name: n.name}, voters: f.initialVoters, ids: map[string]replog.MemberID{}}
			}
		}
		f.states[n.core] = state
	}
	return state
}

// sendRequest sends a request to a random instance. The response may arrive late or never.
func (f *bootstrapSim) sendRequest(n *simNode) {
	state := f.stateOf(n)
	m := f.nodes[f.rng.IntN(len(f.nodes))]
	if state == nil || !isUp(n) || !isUp(m) || m == n || f.partition[n.name] != f.partition[m.name] {
		return
	}
	f.responses = append(f.responses, inFlightResponse{n, n.core, m.name, state.round, f.stateOf(m).newResponse(m.core, m.member, n.name, n.member)})
}

// deliverResponse delivers or drops a random response in flight.
func (f *bootstrapSim) deliverResponse() {
	if len(f.responses) == 0 {
		return
	}
	i := f.rng.IntN(len(f.responses))
	response := f.responses[i]
	f.responses = append(f.responses[:i], f.responses[i+1:]...)
	state := f.stateOf(response.to)
	if response.to.core != response.core || state == nil || response.to.frozen || f.rng.IntN(8) == 0 {
		return
	}
	switch step, config := state.handleResponse(response.round, response.from, response.response); step {
	case bootstrapWait:
		return
	case bootstrapForm:
		if response.to.core.Bootstrap(f.localTime(response.to), config) {
			f.handleReady(response.to)
		}
	}
	f.states[response.core] = nil
}

// fault injects a fault or ends one. At most one disk is lost, and only before the group has
// committed an entry, because two are a majority of the group that is being formed.
func (f *bootstrapSim) fault(n *simNode) {
	if f.rng.IntN(2) == 0 {
		n = f.nodes[0] // the instance that composes the configuration
	}
	switch k := f.rng.IntN(10); {
	case n.core == nil:
		f.start(n)
	case k < 4:
		lose := f.wipedDisks == 0 && f.committed() == 0 && f.rng.IntN(2) == 0
		f.crash(n, false)
		if lose {
			f.wipedDisks++
			f.wipeDisk(n)
		}
		if f.rng.IntN(2) == 0 {
			f.start(n)
		}
	case k < 6:
		f.partition[n.name] = f.rng.IntN(2)
	case k < 8:
		n.frozen = !n.frozen
	default:
		clear(f.partition)
	}
}

// recordFormed records the first configurations that are on the disks.
func (f *bootstrapSim) recordFormed() {
	for _, n := range f.nodes {
		if n.disk.snapshot.Index == 1 {
			f.formed[n.disk.member] = fmt.Sprint(n.disk.snapshot.Config)
		}
	}
}

func runBootstrap(seed uint64) *sim {
	f := newBootstrapSim(seed, 3+int(seed%3))
	order := f.rng.Perm(len(f.nodes))
	for i := 0; i < 1500 && f.err == nil; i++ {
		if len(order) > 0 && f.rng.IntN(20) == 0 { // instances start one after the other
			f.start(f.nodes[order[0]])
			order = order[1:]
		}
		f.step()
		f.recordFormed()
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		switch k := f.rng.IntN(100); {
		case k < 20:
			f.sendRequest(n)
		case k < 30:
			f.deliverResponse()
		case k < 33 && len(order) == 0:
			f.fault(n)
		}
	}
	f.faultFree = true
	clear(f.partition)
	for _, n := range f.nodes {
		n.frozen = false
		if n.core == nil {
			f.start(n)
		}
	}
	for i := 0; i < 100000 && f.err == nil && (i%500 > 0 || f.openUnsettledReason() != ""); i++ {
		f.step()
		f.recordFormed()
		f.sendRequest(f.nodes[f.rng.IntN(len(f.nodes))])
		f.deliverResponse()
	}
	group := ""
	for id, config := range f.formed {
		if f.lostDisks[id] {
			continue
		}
		if group != "" && group != config {
			f.failf("two groups were formed: %v", f.formed)
		}
		group = config
	}
	if f.err == nil {
		f.settleUntil(f.openUnsettledReason, 1000)
	}
	return f.sim
}

// Guards against two groups, or none, when instances bootstrap in any order while one of
// them loses its disk, instances crash, freeze or are partitioned, and responses are late.
func TestBootstrapUnderFaults(t *testing.T) { checkRuns(t, 41, 200, runBootstrap) }
