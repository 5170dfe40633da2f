package quorum

import (
	"fmt"
	"testing"

	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

// foundSim founds an open group among the first instances of a sim, as askFounding,
// founding and onFound do.
type foundSim struct {
	*sim
	listed []string
	// lives holds what each process without a group knows, by its core.
	lives map[*raft.Core]*foundation
	// answers are on their way.
	answers []foundFlight
	// formed holds the first configurations that have reached a disk, by member.
	formed map[replog.MemberID]string
	wiped  int
}

// foundFlight is an answer to one life of an instance.
type foundFlight struct {
	to     *simNode
	life   *raft.Core
	from   string
	round  uint64
	answer foundAnswer
}

func newFoundSim(seed uint64, instances int) *foundSim {
	f := &foundSim{sim: emptySim(seed), lives: map[*raft.Core]*foundation{}, formed: map[replog.MemberID]string{}}
	f.target, f.driven = 3, true
	for i := range instances {
		n := f.fresh()
		if i < f.target {
			f.listed = append(f.listed, n.name)
		}
	}
	return f
}

// life returns the foundation of a process that bootstraps and has no group yet.
func (f *foundSim) life(n *simNode) *foundation {
	if n.core == nil || n.diskless || len(f.listed) == 0 {
		return nil
	}
	l, known := f.lives[n.core]
	if !known {
		for _, name := range f.listed {
			if name == n.name && len(n.core.Config().Members) == 0 {
				l = &foundation{self: replog.Member{ID: n.member, Name: n.name}, listed: f.listed, ids: map[string]replog.MemberID{}}
			}
		}
		f.lives[n.core] = l
	}
	return l
}

// ask sends one question; its answer arrives at once, late or not at all.
func (f *foundSim) ask(n *simNode) {
	l := f.life(n)
	m := f.nodes[f.rng.IntN(len(f.nodes))]
	if l == nil || !up(n) || !up(m) || m == n || f.side[n.name] != f.side[m.name] {
		return
	}
	f.answers = append(f.answers, foundFlight{n, n.core, m.name, l.round, f.life(m).answer(m.core, m.member, n.name, n.member)})
}

// arrive delivers an answer.
func (f *foundSim) arrive() {
	if len(f.answers) == 0 {
		return
	}
	i := f.rng.IntN(len(f.answers))
	x := f.answers[i]
	f.answers = append(f.answers[:i], f.answers[i+1:]...)
	l := f.life(x.to)
	if x.to.core != x.life || l == nil || x.to.frozen || f.rng.IntN(8) == 0 {
		return
	}
	switch step, config := l.hear(x.round, x.from, x.answer); step {
	case foundWait:
		return
	case foundForm:
		if x.to.core.Found(f.local(x.to), config) {
			f.drive(x.to)
		}
	}
	f.lives[x.life] = nil
}

// fault crashes an instance, with the loss of at most one disk of all until the group
// stands, as two would be the majority of the group that forms.
func (f *foundSim) fault(n *simNode) {
	if f.rng.IntN(2) == 0 {
		n = f.nodes[0] // which composes the configuration
	}
	switch k := f.rng.IntN(10); {
	case n.core == nil:
		f.start(n)
	case k < 4:
		lose := f.wiped == 0 && f.committed() == 0 && f.rng.IntN(2) == 0
		f.crash(n, false)
		if lose {
			f.wiped++
			f.wipe(n)
		}
		if f.rng.IntN(2) == 0 {
			f.start(n)
		}
	case k < 6:
		f.side[n.name] = f.rng.IntN(2)
	case k < 8:
		n.frozen = !n.frozen
	default:
		clear(f.side)
	}
}

// note keeps the first configurations of all disks.
func (f *foundSim) note() {
	for _, n := range f.nodes {
		if n.disk.snapshot.Index == 1 {
			f.formed[n.disk.member] = fmt.Sprint(n.disk.snapshot.Config)
		}
	}
}

func runFounding(seed uint64) *sim {
	f := newFoundSim(seed, 3+int(seed%3))
	order := f.rng.Perm(len(f.nodes))
	for i := 0; i < 1500 && f.err == nil; i++ {
		if len(order) > 0 && f.rng.IntN(20) == 0 { // they start one after the other
			f.start(f.nodes[order[0]])
			order = order[1:]
		}
		f.step()
		f.note()
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		switch k := f.rng.IntN(100); {
		case k < 20:
			f.ask(n)
		case k < 30:
			f.arrive()
		case k < 33 && len(order) == 0:
			f.fault(n)
		}
	}
	f.calm = true
	clear(f.side)
	for _, n := range f.nodes {
		n.frozen = false
		if n.core == nil {
			f.start(n)
		}
	}
	for i := 0; i < 100000 && f.err == nil && (i%500 > 0 || f.unsettled() != ""); i++ {
		f.step()
		f.note()
		f.ask(f.nodes[f.rng.IntN(len(f.nodes))])
		f.arrive()
	}
	group := ""
	for id, config := range f.formed {
		if f.lost[id] {
			continue
		}
		if group != "" && group != config {
			f.failf("two groups were formed: %v", f.formed)
		}
		group = config
	}
	if f.err == nil {
		f.rest(f.unsettled, 1000)
	}
	return f.sim
}

// Guards against two groups, or none, when instances are founded in any order while
// one of them loses its disk, crashes, is frozen or is cut off, and answers come late.
func TestFoundingUnderFaults(t *testing.T) { checkRuns(t, 41, 200, runFounding) }
