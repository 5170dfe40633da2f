// Package quorum is the replicated log of the control instances: election,
// replication, membership and linearizable reads. The decisions are in the
// package raft below it; this package saves, sends and applies what they say.
package quorum

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

var (
	evLeads     = event.Declare(350, zerolog.InfoLevel, "instance is the leader")
	evFollows   = event.Declare(351, zerolog.InfoLevel, "instance follows a leader")
	evNoLeader  = event.Declare(352, zerolog.WarnLevel, "no leader is known")
	evFounded   = event.Declare(353, zerolog.InfoLevel, "group of voters formed")
	evRefused   = event.Declare(354, zerolog.ErrorLevel, "bootstrap refused: the group exists")
	evJoining   = event.Declare(355, zerolog.InfoLevel, "instance asks the leader to be added as a learner")
	evMember    = event.Declare(356, zerolog.InfoLevel, "membership change proposed")
	evInstalled = event.Declare(357, zerolog.InfoLevel, "snapshot of the leader installed")
	evCompacted = event.Declare(358, zerolog.DebugLevel, "log compacted by a snapshot")
	evRemoved   = event.Declare(359, zerolog.ErrorLevel, "member was removed from the group; empty its data folder")
	evMalformed = event.Declare(360, zerolog.WarnLevel, "malformed message of another instance")
	evNotSent   = event.Declare(361, zerolog.WarnLevel, "snapshot could not be sent")
	evSetAside  = event.Declare(362, zerolog.WarnLevel, "bootstrap ignored: the data folder belongs to a group")
)

// tickInterval is the resolution of all timeouts.
const tickInterval = 40 * time.Millisecond

// inflightBytes keeps a follower that is far behind below the 32 MiB that may
// wait on one connection, which would otherwise be closed as too slow.
const inflightBytes = 4 << 20

// Keys of the jobs.
const (
	pumpKey  = "quorum"
	diskKey  = "quorum/disk"
	applyKey = "quorum/apply"
)

// disk is the part of the journal that the disk job uses.
type disk interface {
	Save(journal.Batch) error
	SaveSnapshot(s replog.Snapshot, reset bool) error
	LoadSnapshot() (replog.Snapshot, error)
}

// Quorum is the plug-in; it implements api.Log.
type Quorum struct {
	c       *kernel.Context
	s       *Settings
	journal disk
	// recovered returns what the journal recovered, once.
	recovered func() journal.State
	peer      *peer.Peer
	machine   api.StateMachine
	member    replog.MemberID
	begin     time.Time
	metrics   counters

	// mu guards everything below. No call out of the package is made while it is
	// held, except to the pool.
	mu      *rank.Mutex
	core    *raft.Core
	links   map[string]*peer.Link
	started bool
	// in holds inputs for the next pump, which runs them with mu held.
	in        []func(now raft.Instant)
	scheduled bool
	stopping  bool
	names     map[replog.MemberID]string
	view      leaderView
	calls     []func() // to be called after mu is released
	expireAt  raft.Instant
	proposals proposals
	barriers  barriers
	disk      diskQueue
	applying  bool
	applied   uint64 // bytes applied since the last snapshot
	joins     []replog.Member
	asked     raft.Instant // last time the instance asked to join or for the founding
	found     *foundation
	joining   bool // asks to be added
	receiving *incoming
	sending   map[replog.MemberID]bool
}

// leaderView is what was last logged about the leader.
type leaderView struct {
	leader replog.MemberID
	term   uint64
	state  raft.State
	// lost is closed when this instance ceases to be leader.
	lost chan struct{}
}

type counters struct {
	elections, proposals, forwarded, barriers, snapshots *metrics.Counter
}

func newQuorum(c *kernel.Context) (*Quorum, error) {
	j := kernel.Use[*journal.Journal](c, "journal")
	q := &Quorum{
		c: c, s: c.Settings.(*Settings), mu: rank.New(rank.Quorum), journal: j, recovered: j.Recovered, peer: kernel.Use[*peer.Peer](c, "peer"),
		names: map[replog.MemberID]string{}, machine: nullMachine{},
		sending: map[replog.MemberID]bool{}, links: map[string]*peer.Link{},
	}
	if q.listed() && !j.Durable() {
		return nil, errors.Newf("instance %q is listed as a voter but has no data folder", c.Instance.Name)
	}
	q.proposals.init(randomID())
	q.barriers.groups = map[uint64]*readGroup{}
	q.metrics = counters{
		elections: c.Metrics.NewCounter("celeryyard_quorum_leader_changes_total"),
		proposals: c.Metrics.NewCounter("celeryyard_quorum_proposals_total"),
		forwarded: c.Metrics.NewCounter("celeryyard_quorum_forwarded_total"),
		barriers:  c.Metrics.NewCounter("celeryyard_quorum_barriers_total"),
		snapshots: c.Metrics.NewCounter("celeryyard_quorum_snapshots_total"),
	}
	c.Metrics.NewGauge("celeryyard_quorum_leader", func() float64 { return oneIf(q.Status().Role == "leader") })
	c.Metrics.NewGauge("celeryyard_quorum_voter", func() float64 { return oneIf(q.Status().Role != "learner") })
	c.Metrics.NewGauge("celeryyard_quorum_commit_index", func() float64 { return float64(q.Status().Commit) })
	c.Metrics.NewGauge("celeryyard_quorum_confirmed_age_seconds", func() float64 {
		if s := q.Status(); !s.Confirmed.IsZero() {
			return c.Clock.Now().Sub(s.Confirmed).Seconds()
		}
		return -1
	})
	q.peer.OnInstance(q.connect)
	q.peer.Handle("quorum.step", q.onStep)
	q.peer.Handle("quorum.propose", q.onPropose)
	q.peer.Handle("quorum.barrier", q.onBarrier)
	q.peer.Handle("quorum.snapshot", q.onSnapshot)
	q.peer.Handle("quorum.join", q.onJoin)
	q.peer.Handle("quorum.found", q.onFound)
	return q, nil
}

// randomID draws from the system's generator, because identifiers must differ
// even between runs with the same seed.
func randomID() uint64 {
	var b [8]byte
	for {
		_, _ = crand.Read(b[:]) // never fails, see crypto/rand
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return v
		}
	}
}

// founders returns the instances that form the group; the first one composes it.
func (q *Quorum) founders() []string {
	if q.s.OpenVoters > 0 {
		return q.peer.SeedNames()
	}
	return q.s.Voters
}

func (q *Quorum) listed() bool { return slices.Contains(q.founders(), q.c.Instance.Name) }

// Attach implements api.Log.
func (q *Quorum) Attach(sm api.StateMachine) { q.machine = sm }

// Start implements kernel.Plugin: it restores the state machine from the journal
// and connects to the other instances.
func (q *Quorum) Start(context.Context) error {
	q.begin = q.c.Clock.Now()
	r := q.recovered()
	if r.Member == 0 {
		r.Member = replog.MemberID(randomID())
		if err := q.journal.Save(journal.Batch{Member: r.Member}); err != nil {
			return err
		}
	}
	if err := q.recover(r); err != nil {
		return err
	}
	for _, m := range q.peer.Instances() {
		q.connect(m)
	}
	q.mu.Lock()
	q.started = true
	q.mu.Unlock()
	q.c.Every(pumpKey, tickInterval, q.pump)
	return nil
}

// connect keeps a connection to another instance.
func (q *Quorum) connect(m peer.Member) {
	q.mu.Lock()
	_, known := q.links[m.Name]
	if known || m.Name == q.c.Instance.Name || q.stopping {
		q.mu.Unlock()
		return
	}
	q.links[m.Name] = nil // no second connection meanwhile
	q.mu.Unlock()
	l := q.peer.Connect(m.Address, q.onUp)
	q.mu.Lock()
	q.links[m.Name] = l
	q.mu.Unlock()
}

func (q *Quorum) recover(r journal.State) error {
	if len(r.Snapshot.Data) > 0 {
		if err := q.machine.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
	}
	r.Snapshot.Data = nil
	heartbeat, rng := raft.Instant(q.s.Heartbeat.D()), q.c.Rand()
	q.mu.Lock()
	q.member = r.Member
	q.core = raft.New(raft.Options{
		ID: r.Member, Election: raft.Instant(q.s.ElectionTimeout.D()), Heartbeat: heartbeat, LearnerHeartbeat: 3 * heartbeat,
		MaxBatchBytes: 1 << 20, MaxInflight: 32, MaxInflightBytes: inflightBytes, MaxUncommitted: 64 << 20, Rand: rng,
	}, raft.Recovered{Hard: r.Hard, Snapshot: r.Snapshot, Entries: r.Entries}, q.now())
	q.disk.commit = r.Hard.Commit
	q.disk.released = resource.Version(r.Released)
	if q.core.Last() == 0 && q.c.Bootstrap && (q.listed() || q.s.OpenVoters == 0) {
		q.found = &foundation{self: replog.Member{ID: q.member, Name: q.c.Instance.Name}, listed: q.founders(), ids: map[string]replog.MemberID{}}
	}
	q.applying = true
	q.mu.Unlock()
	if q.c.Bootstrap && q.core.Last() != 0 {
		q.c.Log.Log(evSetAside).Send()
	}
	if q.found != nil && !q.listed() {
		return errors.Newf("instance %q is not listed as a voter and cannot form a group", q.c.Instance.Name)
	}
	for q.applyBatch() {
	}
	return nil
}

// Stop implements kernel.Plugin. A leader hands the lead over before it stops.
func (q *Quorum) Stop(ctx context.Context) error {
	q.mu.Lock()
	if q.core == nil {
		q.mu.Unlock()
		return nil
	}
	lost := q.view.lost
	if q.core.State() != raft.Leader || !q.core.Transfer(q.now()) {
		lost = nil
	}
	q.mu.Unlock()
	if lost != nil {
		q.submit(func(raft.Instant) {})
		wait, cancel := context.WithTimeout(ctx, q.s.ElectionTimeout.D())
		defer cancel()
		select {
		case <-lost:
		case <-wait.Done():
		}
	}
	q.mu.Lock()
	q.stopping = true
	q.failAll()
	calls := q.takeCalls()
	idle := q.disk.stop()
	q.mu.Unlock()
	run(calls)
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.New("a disk write did not end in time")
	}
}

// now returns the time since the start; it is above zero, which stands for never.
func (q *Quorum) now() raft.Instant { return raft.Instant(q.c.Clock.Now().Sub(q.begin)) + 1 }

// Status implements api.Log.
func (q *Quorum) Status() api.QuorumStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.started {
		return api.QuorumStatus{}
	}
	s := api.QuorumStatus{
		Member: q.member.String(), Role: q.role(), Term: q.core.Term(), Leader: q.nameOf(q.core.Leader()),
		Commit: q.core.Commit(), Applied: q.core.AppliedIndex(),
	}
	if at, ok := q.core.Confirmed(); ok {
		s.Confirmed = q.begin.Add(time.Duration(at))
	}
	config := q.core.CommittedConfig()
	for _, m := range config.Members {
		if m.Voter {
			s.Voters = append(s.Voters, m.Name)
		} else {
			s.Learners = append(s.Learners, m.Name)
		}
	}
	return s
}

func (q *Quorum) role() string {
	config := q.core.Config()
	switch {
	case q.core.State() == raft.Leader:
		return "leader"
	case !config.IsVoter(q.member):
		return "learner"
	case q.core.State() == raft.Follower:
		return "follower"
	}
	return "candidate"
}

// nameOf returns the instance name of a member; empty when unknown.
func (q *Quorum) nameOf(id replog.MemberID) string {
	if id == q.member {
		return q.c.Instance.Name
	}
	config := q.core.Config()
	if m, ok := config.Find(id); ok {
		return m.Name
	}
	return q.names[id]
}

// nullMachine stands in while no state machine is attached.
type nullMachine struct{}

func (nullMachine) Apply(uint64, []byte) any  { return nil }
func (nullMachine) Snapshot() ([]byte, error) { return nil, nil }
func (nullMachine) Restore([]byte) error      { return nil }

var _ api.Log = (*Quorum)(nil)

// onUp runs when a connection to another instance is made.
func (q *Quorum) onUp(c *rpc.Conn) {
	name := c.Peer
	q.submit(func(now raft.Instant) {
		for _, m := range q.core.Config().Members {
			if m.Name == name {
				q.core.Reachable(now, m.ID)
			}
		}
		q.asked = 0 // ask the new connection at once
	})
}

// oneIf is the value of a gauge that tells whether something holds.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
