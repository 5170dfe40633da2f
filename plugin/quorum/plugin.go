// Package quorum implements the replicated log of the control instances: leader
// election, replication, membership changes and linearizable reads. Package raft makes the
// decisions without I/O; this package writes to disk, sends messages and applies entries
// accordingly.
package quorum

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/replog"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/core/statemachine"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/journal"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/quorum/raft"
)

var (
	evLeader            = event.Declare(350, zerolog.InfoLevel, "instance is the leader")
	evFollower          = event.Declare(351, zerolog.InfoLevel, "instance follows a leader")
	evNoLeader          = event.Declare(352, zerolog.WarnLevel, "no leader is known")
	evGroupFormed       = event.Declare(353, zerolog.InfoLevel, "group of voters formed")
	evBootstrapRefused  = event.Declare(354, zerolog.ErrorLevel, "bootstrap refused: a group exists without this member")
	evJoinRequested     = event.Declare(355, zerolog.InfoLevel, "instance asks the leader to be added as a learner")
	evMembershipChange  = event.Declare(356, zerolog.InfoLevel, "membership change proposed")
	evSnapshotInstalled = event.Declare(357, zerolog.InfoLevel, "snapshot from the leader installed")
	evLogCompacted      = event.Declare(358, zerolog.DebugLevel, "log compacted by a snapshot")
	evMemberRemoved     = event.Declare(359, zerolog.ErrorLevel, "member was removed from the group; restart it with an empty data folder")
	evMalformedMessage  = event.Declare(360, zerolog.WarnLevel, "malformed message from another instance")
	evSnapshotNotSent   = event.Declare(361, zerolog.WarnLevel, "snapshot could not be sent")
	evFewVoters         = event.Declare(363, zerolog.WarnLevel, "group has fewer voters than the tolerated losses require")
	evEnoughVoters      = event.Declare(364, zerolog.InfoLevel, "group has the voters that the tolerated losses require")
	evDiskFull          = event.Declare(365, zerolog.ErrorLevel, "disk is full; the instance does not vote until a write succeeds")
	evDiskFreed         = event.Declare(366, zerolog.InfoLevel, "disk accepts writes again")
	evSnapshotSkipped   = event.Declare(367, zerolog.WarnLevel, "snapshot not written: the disk has no room for it")
	evBootstrapBegun    = event.Declare(369, zerolog.InfoLevel, "bootstrap begun: the data folder says that this instance forms a group")
	evBootstrapResumed  = event.Declare(368, zerolog.InfoLevel, "bootstrap continues that was begun before a restart")
	evNotEncoded        = event.Declare(370, zerolog.ErrorLevel, "message to another instance could not be encoded")
	evBootstrapIgnored  = event.Declare(362, zerolog.WarnLevel, "bootstrap ignored: the data folder belongs to a group")
)

// tickInterval is the interval at which pump runs, and so the resolution of all timeouts.
const tickInterval = 40 * time.Millisecond

// maxInflightBytes bounds the size of the unacknowledged entries sent to one follower. A
// connection is closed as too slow if more than 32 MiB are queued on it; this bound is well
// below that.
const maxInflightBytes = 4 << 20

// Keys of the jobs.
const (
	pumpKey  = "quorum"
	diskKey  = "quorum/disk"
	applyKey = "quorum/apply"
)

// storage holds the journal methods that the disk job uses.
type storage interface {
	Save(journal.Batch) error
	SaveSnapshot(s replog.Snapshot, reset bool) error
	LoadSnapshot() (replog.Snapshot, error)
}

// Quorum is the plug-in; it implements api.Log.
type Quorum struct {
	c       *kernel.Context
	s       *Settings
	journal storage
	// takeRecovered returns the state that the journal recovered. It is called once.
	takeRecovered func() journal.State
	peer          *peer.Peer
	// isDurable is set if the journal is on a disk.
	isDurable bool
	machines  statemachine.Set
	memberID  replog.MemberID
	startTime time.Time // epoch of raft.Instant on this instance
	metrics   counters

	// mu guards the fields below. While mu is held, no function of another package that
	// blocks or takes a lock is called, except to queue jobs on the worker pool.
	mu      *rank.Mutex
	core    *raft.Core
	links   map[string]*peer.Link
	started bool
	// pendingInputs holds functions that pass inputs to the core. The next run of pump calls them in
	// order, with mu held.
	pendingInputs []func(now raft.Instant)
	pumpScheduled bool // pump is queued on the pool
	stopping      bool
	memberNames   map[replog.MemberID]string // instance names learned from messages
	// learnedMembers holds the members of the configuration that learnMembers has seen last.
	learnedMembers []replog.Member
	// fewVotersSince is when this instance, as the leader, found the group with fewer voters than
	// its target; 0 if it has enough. fewVotersLogged is set once that is logged.
	fewVotersSince  raft.Instant
	fewVotersLogged bool
	// zones holds the availability zones of the instances, by instance name.
	zones         map[string]string
	leaderState   leaderState
	deferredFuncs []func()     // to be called after mu is released
	nextExpiry    raft.Instant // next scan for expired proposals and barriers
	proposals     proposalTable
	barriers      barrierTable
	disk          diskQueue
	applying      bool            // the apply job is queued or running
	appliedBytes  uint64          // size of the entries applied since the last snapshot
	pendingJoins  []replog.Member // on the leader: instances that requested to join
	lastRequest   raft.Instant    // time of the last request to join or to bootstrap
	bootstrap     *bootstrapState // nil unless the log is empty and the journal is on a disk
	joining       bool            // the instance is not a member and has requested to join
	receiving     *incomingSnapshot
	sending       map[replog.MemberID]bool // members to which a snapshot is being sent
}

// leaderState is the leader and the state of this member when they were last observed.
type leaderState struct {
	leader replog.MemberID
	term   uint64
	state  raft.State
	// leadershipLost is closed when this instance stops being the leader; nil while it is not
	// the leader.
	leadershipLost chan struct{}
}

type counters struct {
	leaderChanges, proposals, forwarded, barriers, snapshots *metrics.Counter
}

func newQuorum(c *kernel.Context) (*Quorum, error) {
	j := kernel.MustFind[*journal.Journal](c, "journal")
	q := &Quorum{
		c: c, s: c.Settings.(*Settings), mu: rank.NewMutex(rank.Quorum), journal: j, isDurable: j.IsDurable(), takeRecovered: j.TakeRecoveredState, peer: kernel.MustFind[*peer.Peer](c, "peer"),
		memberNames: map[replog.MemberID]string{},
		sending:     map[replog.MemberID]bool{}, links: map[string]*peer.Link{}, zones: map[string]string{c.Instance.Name: c.Instance.AvailabilityZone},
	}
	if q.isInitialVoter() && !j.IsDurable() {
		return nil, errors.Newf("instance %q is listed as a voter but has no data folder", c.Instance.Name)
	}
	q.machines.SetMain(noopStateMachine{})
	q.proposals.init(randomID())
	q.barriers.groups = map[uint64]*readGroup{}
	q.metrics = counters{
		leaderChanges: c.Metrics.NewCounter("celeryyard_quorum_leader_changes_total"),
		proposals:     c.Metrics.NewCounter("celeryyard_quorum_proposals_total"),
		forwarded:     c.Metrics.NewCounter("celeryyard_quorum_forwarded_total"),
		barriers:      c.Metrics.NewCounter("celeryyard_quorum_barriers_total"),
		snapshots:     c.Metrics.NewCounter("celeryyard_quorum_snapshots_total"),
	}
	c.Metrics.NewGauge("celeryyard_quorum_leader", func() float64 { return boolToFloat(q.Status().Role == "leader") })
	c.Metrics.NewGauge("celeryyard_quorum_voter", func() float64 { return boolToFloat(q.Status().Role != "learner") })
	for name, read := range map[string]func(*raft.Core) int{
		"celeryyard_quorum_log_bytes": (*raft.Core).LogBytes, "celeryyard_quorum_unsaved_bytes": (*raft.Core).UnsavedBytes,
	} {
		c.Metrics.NewGauge(name, func() float64 { return float64(q.measureLog(read)) })
	}
	c.Metrics.NewGauge("celeryyard_quorum_commit_index", func() float64 { return float64(q.Status().Commit) })
	c.Metrics.NewGauge("celeryyard_quorum_confirmed_age_seconds", func() float64 {
		if s := q.Status(); !s.Confirmed.IsZero() {
			return c.Clock.Now().Sub(s.Confirmed).Seconds()
		}
		return -1
	})
	q.peer.OnInstanceUpdate(q.connect)
	q.peer.OnInstanceUpdate(q.learnZone)
	q.peer.Handle("quorum.step", q.onStep)
	q.peer.Handle("quorum.propose", q.onPropose)
	q.peer.Handle("quorum.barrier", q.onBarrier)
	q.peer.Handle("quorum.snapshot", q.onSnapshot)
	q.peer.Handle("quorum.join", q.onJoin)
	q.peer.Handle("quorum.found", q.onBootstrap)
	return q, nil
}

// SetStateMachine implements api.Log.
func (q *Quorum) SetStateMachine(sm api.StateMachine) { q.machines.SetMain(sm) }

// AddStateMachine implements api.Log.
func (q *Quorum) AddStateMachine(name string, sm api.StateMachine) api.ProposeFunc {
	q.machines.Add(name, sm)
	return func(data []byte, timeout time.Duration, done func(any, error)) {
		q.proposeTo(name, data, timeout, done)
	}
}

// Start implements kernel.Plugin: it restores the state machine from the journal
// and connects to the other instances.
func (q *Quorum) Start(context.Context) error {
	q.startTime = q.c.Clock.Now()
	r := q.takeRecovered()
	if err := q.initialize(&r); err != nil {
		return err
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
	q.c.RunEvery(pumpKey, tickInterval, q.pump)
	return nil
}

// connect opens a permanent link to another instance, unless there is one already.
func (q *Quorum) connect(m peer.Member) {
	q.mu.Lock()
	_, hasLink := q.links[m.Name]
	if hasLink || m.Name == q.c.Instance.Name || q.stopping {
		q.mu.Unlock()
		return
	}
	q.links[m.Name] = nil // a concurrent call must not open a second link
	q.mu.Unlock()
	link := q.peer.Connect(m.Address, q.reportConnected)
	q.mu.Lock()
	q.links[m.Name] = link
	q.mu.Unlock()
}

// recover restores the state machine and the raft core from the journal.
func (q *Quorum) recover(r journal.State) error {
	if len(r.Snapshot.Data) > 0 {
		if err := q.machines.Restore(r.Snapshot.Data); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
	}
	r.Snapshot.Data = nil
	heartbeat, rng := raft.Instant(q.s.Heartbeat.AsDuration()), q.c.NewRand()
	q.mu.Lock()
	q.memberID = r.MemberID
	q.core = raft.New(raft.Options{
		ID: r.MemberID, ElectionTimeout: raft.Instant(q.s.ElectionTimeout.AsDuration()), HeartbeatInterval: heartbeat, LearnerHeartbeatInterval: learnerHeartbeatRatio * heartbeat,
		MaxBatchBytes: 1 << 20, MaxInflightAppends: 32, MaxInflightBytes: maxInflightBytes, MaxUncommittedBytes: q.s.UncommittedBytes, MaxUnsavedBytes: q.s.UnsavedBytes, Rand: rng,
	}, raft.RecoveredState{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}, q.now())
	q.disk.commit = r.HardState.Commit
	q.disk.releasedVersion = resource.Version(r.ReleasedVersion)
	if q.core.LastIndex() == 0 && q.isDurable {
		q.bootstrap = newBootstrapState(replog.Member{ID: q.memberID, Name: q.c.Instance.Name}, len(r.Founders) > 0, r.Founders)
	}
	q.applying = true
	q.mu.Unlock()
	for _, name := range r.Founders {
		q.peer.LearnByName(name, "") // the seeds may have changed since
	}
	for q.applyBatch() {
	}
	return nil
}

// Stop implements kernel.Plugin. A leader transfers its leadership before it stops.
func (q *Quorum) Stop(ctx context.Context) error {
	q.mu.Lock()
	if q.core == nil {
		q.mu.Unlock()
		return nil
	}
	lost := q.leaderState.leadershipLost
	if q.core.State() != raft.Leader || !q.core.TransferLeadership(q.now()) {
		lost = nil
	}
	q.mu.Unlock()
	if lost != nil {
		q.submit(func(raft.Instant) {})
		waitCtx, cancel := context.WithTimeout(ctx, q.s.ElectionTimeout.AsDuration())
		defer cancel()
		select {
		case <-lost:
		case <-waitCtx.Done():
		}
	}
	q.mu.Lock()
	q.stopping = true
	q.failAll()
	calls := q.takeDeferred()
	idle := q.disk.stop()
	q.mu.Unlock()
	runCalls(calls)
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errors.New("disk write did not finish before the stop deadline")
	}
}

// now returns the time since Start. It is always above 0, because 0 stands for never.
func (q *Quorum) now() raft.Instant { return raft.Instant(q.c.Clock.Now().Sub(q.startTime)) + 1 }

// Status implements api.Log.
func (q *Quorum) Status() api.QuorumStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.started {
		return api.QuorumStatus{}
	}
	s := api.QuorumStatus{
		Member: q.memberID.String(), Role: q.role(), Term: q.core.Term(), Leader: q.nameOf(q.core.Leader()),
		Commit: q.core.CommitIndex(), Applied: q.core.AppliedIndex(),
	}
	if at, ok := q.core.CommitCurrentAt(); ok {
		s.Confirmed = q.startTime.Add(time.Duration(at))
	}
	if q.disk.pendingSince != 0 {
		s.WritePending = time.Duration(q.now() - q.disk.pendingSince)
	}
	s.WriteTime = max(s.WritePending, q.disk.writeTimes.longest(q.now()))
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

// role returns the role of this member as Status reports it.
func (q *Quorum) role() string {
	config := q.core.Config()
	switch {
	case q.core.State() == raft.Leader:
		return "leader"
	case !config.IsVoter(q.memberID):
		return "learner"
	case q.core.State() == raft.Follower:
		return "follower"
	}
	return "candidate"
}

// nameOf returns the instance name of a member, or an empty string if it is unknown; mu
// is held.
func (q *Quorum) nameOf(id replog.MemberID) string {
	if id == q.memberID {
		return q.c.Instance.Name
	}
	config := q.core.Config()
	if m, ok := config.Find(id); ok {
		return m.Name
	}
	return q.memberNames[id]
}

// noopStateMachine is used until SetStateMachine is called.
type noopStateMachine struct{}

func (noopStateMachine) Apply(uint64, []byte) any  { return nil }
func (noopStateMachine) Snapshot() ([]byte, error) { return nil, nil }
func (noopStateMachine) Restore([]byte) error      { return nil }

var _ api.Log = (*Quorum)(nil)

// reportConnected reports the members with the instance name of a new connection to the core as
// reachable, and allows the next request to join or to bootstrap to be sent without delay.
func (q *Quorum) reportConnected(c *rpc.Conn) {
	name := c.Peer
	q.submit(func(now raft.Instant) {
		for _, m := range q.core.Config().Members {
			if m.Name == name {
				q.core.ReportReachable(now, m.ID)
			}
		}
		q.lastRequest = 0 // send requests over the new connection at once
	})
}

// boolToFloat converts a condition to the value of a gauge.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
