// Package session keeps a node attached to a control instance and applies the updates that it
// receives to the view.
package session

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/admin"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

var (
	evAttached   = event.Declare(600, zerolog.InfoLevel, "attached to control instance")
	evRefused    = event.Declare(601, zerolog.WarnLevel, "control instance refused the session")
	evPingFailed = event.Declare(602, zerolog.WarnLevel, "control instance did not answer a ping; connecting to another")
	evInvalid    = event.Declare(603, zerolog.WarnLevel, "message of a control instance refused")
	evMoved      = event.Declare(604, zerolog.InfoLevel, "moving the session to a preferred control instance")
	evNoInstance = event.Declare(605, zerolog.ErrorLevel, "settings name no control instance")
	evNotMoved   = event.Declare(606, zerolog.InfoLevel, "no preferable control instance found; the session stays")
	evUpdated    = event.Declare(607, zerolog.InfoLevel, "configuration is in force")
	evRules      = event.Declare(438, zerolog.InfoLevel, "rules of roll-outs are in force")
	evPaused     = event.Declare(608, zerolog.WarnLevel, "process did not run for a while; calls wait until the configuration is confirmed")
)

// Bounds of the backoff after refused sessions. A longer pause than 1 s would leave too little of the 3 s
// in which a change is in force everywhere.
const (
	minPauseAfterRefusal = 100 * time.Millisecond
	maxPauseAfterRefusal = time.Second
)

// stateKey is the job key of jobs that read or change the view: jobs with one key run in order, one
// at a time.
const stateKey = "session/state"

// ErrDetached means that the node currently has no session.
var ErrDetached = errors.New("node is not attached to a control instance")

// Session is the plug-in. Its callbacks must be set before Start.
type Session struct {
	c              *kernel.Context
	s              *Settings
	peer           *peer.Peer
	view           api.View
	trace          *trace.Trace
	incarnation    uint64
	ctx            context.Context
	onAttach       []func(known *resource.Announcement)
	onClosures     func(closures []resource.Closure)
	loadReport     func() *peerapi.LoadReport
	calledServices func() []string
	onLoads        func([]peerapi.ServiceLoads)
	rollouts       RolloutCallbacks

	// mu guards the fields below.
	mu *rank.Mutex
	// instances holds the known control instances in the order in which they are tried. The first
	// homeCount of them are in the node's own zone and not in unreachable.
	instances []instance
	homeCount int
	// unreachable names the instances that the last instance with a quorum did not reach.
	unreachable []string
	// failures orders the instances for the next connection. lastTried is the instance of the last
	// attempt to connect.
	failures  failureOrder
	lastTried string
	// link maintains the current connection. candidate, if it is not nil, connects to an instance
	// to which the session may move.
	link, candidate *peer.Link
	// linkMove is the move that created link; nil for the first link.
	linkMove *moveAttempt
	conn     *rpc.Conn
	attached bool
	// isolated is set while the current instance does not reach the quorum. leaveScheduled is set
	// while an attempt to leave it is scheduled.
	isolated, leaveScheduled bool
	// failedLeaves counts the attempts to leave an isolated instance that found none that suits. It is reset
	// once the current instance reaches the quorum.
	failedLeaves int
	// consecutiveRefusals counts the refused sessions since the last one that started.
	consecutiveRefusals int
	// currency is how current the held configuration is. pauses detects that this process did not run.
	currency currency
	pauses   pauseWatch
	// confirmation lets calls wait for a statement on the currency.
	confirmation confirmation
	// heldRules and expectedRules are the indexes of the rules of roll-outs that the node holds and that its instance stated last.
	heldRules, expectedRules uint64
	// fastPings is set while a ping at RolloutPingInterval is scheduled.
	fastPings bool

	attachments *metrics.Counter
}

func newSession(c *kernel.Context) *Session {
	s := &Session{
		c: c, s: c.Settings.(*Settings), peer: kernel.MustFind[*peer.Peer](c, "peer"), view: kernel.MustFind[api.View](c, "view"),
		trace: trace.Find(c), incarnation: uint64(c.Clock.Now().UnixMilli()), mu: rank.NewMutex(rank.Session),
		onClosures:  func([]resource.Closure) {},
		pauses:      pauseWatch{maxGap: c.Settings.(*Settings).PingInterval.AsDuration() + maxDelay},
		attachments: c.Metrics.NewCounter("celeryyard_session_attachments_total"),
	}
	c.Metrics.NewGauge("celeryyard_session_attached", func() float64 {
		if s.Attached() {
			return 1
		}
		return 0
	})
	c.Metrics.NewGauge("celeryyard_configuration_age_seconds", func() float64 {
		if age, known := s.ConfigurationAge(); known {
			return age.Seconds()
		}
		return -1
	})
	s.peer.Handle(peerapi.NodeUpdate, s.onUpdate)
	s.peer.Handle(peerapi.NodeClosures, s.receiveClosures)
	s.peer.Handle(peerapi.NodeRollouts, s.receiveRules)
	s.peer.OnInstanceUpdate(func(peer.Member) { s.updateInstances() })
	s.peer.OnClose(s.onClose)
	if a, ok := kernel.Find[*admin.Admin](c, "admin"); ok {
		a.AddReadinessCheck(func() error {
			if s.view.Current() == nil {
				return errors.New("no configuration is held yet")
			}
			return nil
		})
	}
	return s
}

// Incarnation identifies this start of the node: its start time in Unix milliseconds.
func (s *Session) Incarnation() uint64 { return s.incarnation }

// OnAttach adds a function that is called in a job each time a session has started, with the last
// announcement of this node that the control instance knows of; nil if there is none. It must be called
// before Start.
func (s *Session) OnAttach(f func(known *resource.Announcement)) { s.onAttach = append(s.onAttach, f) }

// OnClosures sets the function that is called in a job with the closures of upstreams of this node in the replicated log: when
// a session has started, before the functions of OnAttach, and when they have changed. It must be called before Start.
func (s *Session) OnClosures(f func(closures []resource.Closure)) { s.onClosures = f }

// SetLoadReporter sets the function that returns the load report of the upstream for each ping. The
// function returns nil if there is no report. SetLoadReporter must be called before Start.
func (s *Session) SetLoadReporter(f func() *peerapi.LoadReport) { s.loadReport = f }

// SetLoadCallbacks sets the callbacks for the loads of other nodes' upstreams: calledServices returns
// the services whose loads each ping requests, and onLoads is called in a job with the loads received.
// SetLoadCallbacks must be called before Start.
func (s *Session) SetLoadCallbacks(calledServices func() []string, onLoads func([]peerapi.ServiceLoads)) {
	s.calledServices, s.onLoads = calledServices, onLoads
}

// Attached reports whether the node has a session.
func (s *Session) Attached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attached
}

// Start implements kernel.Plugin.
func (s *Session) Start(ctx context.Context) error {
	s.ctx = ctx
	if len(s.peer.Instances()) == 0 {
		s.c.Log.Log(evNoInstance).Send()
		return errors.New("peer names no control instance")
	}
	s.updateInstances()
	link := s.peer.ConnectAny(s.nextAddress, func(c *rpc.Conn) { s.onConnect(nil, c) })
	s.mu.Lock()
	s.link = link
	s.mu.Unlock()
	s.c.RunEvery("session/ping", s.s.PingInterval.AsDuration(), func() { s.observeActivity(); s.sendPing() })
	s.scheduleMove()
	return nil
}

// updateInstances sets the order in which the known control instances are tried.
func (s *Session) updateInstances() {
	var known []instance
	for _, m := range s.peer.Instances() {
		known = append(known, instance{m.Name, m.Address, m.AvailabilityZone})
	}
	rng := s.c.NewRand()
	s.mu.Lock()
	defer s.mu.Unlock()
	ordered, homeCount := orderInstances(known, s.c.Instance.AvailabilityZone, s.unreachable, rng)
	s.instances, s.homeCount = ordered, homeCount
}

// Stop implements kernel.Plugin.
func (s *Session) Stop(context.Context) error { return nil }

// nextAddress returns the address for the link's next connection. It runs on the goroutine of the
// link. After refused sessions it waits, because the link itself backs off only after failed
// connections.
func (s *Session) nextAddress(attempt int) string {
	s.mu.Lock()
	refusals := s.consecutiveRefusals
	s.mu.Unlock()
	if refusals > 0 {
		timer := time.NewTimer(peer.Backoff(refusals, minPauseAfterRefusal, maxPauseAfterRefusal, s.c.NewRand()))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooseNext(attempt).address
}

// chooseNext returns the instance for the next attempt to connect; attempt is the number of attempts that
// have failed since the last connection. mu is held.
func (s *Session) chooseNext(attempt int) instance {
	if attempt > 0 {
		s.failures.record(s.lastTried)
	}
	next := chooseInstance(s.instances, &s.failures)
	s.lastTried = next.name
	return next
}

// onConnect starts the session on a connection of the link that mover created; mover is nil for the
// first link. If a move has replaced that link, the connection is closed: it must not replace the
// connection of the newer link, which would then have no session although it stays connected.
func (s *Session) onConnect(mover *moveAttempt, c *rpc.Conn) {
	s.mu.Lock()
	if s.linkMove != mover {
		s.mu.Unlock()
		c.Close()
		return
	}
	s.conn, s.attached, s.isolated = c, false, false
	s.mu.Unlock()
	if s.c.TryGo(stateKey, func() { s.sendHello(c) }) != nil {
		c.Close() // the process is overloaded; the link reconnects later
	}
}

// sendHello sends the version and the digests of the node's view to the instance. It runs as a job
// with the key of the updates, after all updates of earlier sessions, so that these cannot change the
// view after the hello.
func (s *Session) sendHello(c *rpc.Conn) {
	version, digests := peerapi.Digests(s.view.Current())
	h := &peerapi.Hello{
		Node: s.c.Instance.Name, AvailabilityZone: s.c.Instance.AvailabilityZone, Incarnation: s.incarnation,
		Services: s.s.Services, Version: version, Digests: digests,
	}
	sentAt := s.c.Clock.Now()
	s.call(c, peerapi.NodeHello, h, s.s.PingTimeout.AsDuration(), func(raw []byte, err error) {
		var r peerapi.HelloReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err != nil {
			s.c.Log.Log(evRefused).Str("process", c.Peer).Err(err).Send()
			s.mu.Lock()
			s.consecutiveRefusals++
			s.mu.Unlock()
			c.Close()
			return
		}
		s.expectRules(r.Rules)
		s.receiveCurrency(r.Currency, sentAt)
		for _, m := range r.Instances {
			s.peer.LearnByName(m.Name, m.AvailabilityZone)
		}
		if !r.Isolated {
			s.recordUnreachable(r.Unreachable)
		}
		s.startSession(c, &r)
	})
}

// startSession marks the node as attached and calls the OnAttach functions.
func (s *Session) startSession(c *rpc.Conn, r *peerapi.HelloReply) {
	s.mu.Lock()
	current := s.conn == c
	s.attached = s.attached || current
	if current {
		s.consecutiveRefusals = 0
	}
	s.mu.Unlock()
	if !current {
		return
	}
	s.attachments.Inc()
	s.c.Log.Log(evAttached).Str("process", c.Peer).Str("waiting", r.WaitingReason).Send()
	s.recordIsolation(c, r.Isolated)
	s.onClosures(r.Closures)
	for _, f := range s.onAttach {
		f(r.Known)
	}
}

func (s *Session) onClose(c *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == c {
		s.conn, s.attached = nil, false
		s.failures.record(c.Peer)
	}
}

// receiveClosures submits a job that passes received closures on, or closes the connection if the job cannot be queued: the
// next hello brings them.
func (s *Session) receiveClosures(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.Closures{}
	if err := r.Decode(m); err != nil {
		s.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		c.Close()
		return
	}
	if s.c.TryGo(stateKey, func() { s.onClosures(m.Closures) }) != nil {
		c.Close()
	}
}

// onUpdate submits a job that applies a received update, or closes the connection if the job cannot
// be queued.
func (s *Session) onUpdate(c *rpc.Conn, r *rpc.Request) {
	if s.c.TryGo(stateKey, func() { s.applyUpdate(c, r) }) != nil {
		c.Close() // the process is overloaded; the session is resumed later
	}
}

// applyUpdate applies an update as one unit and acknowledges the outcome.
func (s *Session) applyUpdate(c *rpc.Conn, r *rpc.Request) {
	s.mu.Lock()
	current := s.conn == c
	s.mu.Unlock()
	if !current {
		return // the session has moved; the new instance sends the missing changes
	}
	m := &peerapi.Update{}
	err := r.Decode(m)
	if err != nil {
		s.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		c.Close()
		return
	}
	s.trace.Record("session", "update", s.c.Clock.Now(), c.Peer, m)
	held := s.view.Current()
	u, err := m.Resolve(held)
	if err == nil {
		err = s.view.Apply(u)
	}
	a := &peerapi.Ack{ID: m.ID}
	if now := s.view.Current(); now != nil {
		a.Version = now.Version
	}
	s.mu.Lock()
	s.currency.apply(a.Version)
	s.confirmAfterPause()
	s.confirmation.notify()
	s.mu.Unlock()
	if err == nil && m.Delta != nil {
		s.c.Log.Log(evUpdated).Str("process", c.Peer).Uint("version", uint64(a.Version)).Uint("previous", uint64(m.Delta.From)).
			Int("changes", len(m.Delta.Upserts)+len(m.Delta.Removes)).Send()
	}
	if err != nil {
		a.Rejected = err.Error()
	}
	if err := c.Notify(peerapi.NodeAck, a); err != nil {
		c.Close()
	}
}

// Call sends a request to the attached instance. done is called in a job, with ErrDetached if the
// node has no session.
func (s *Session) Call(method string, params any, timeout time.Duration, done func(raw []byte, err error)) {
	s.mu.Lock()
	c := s.conn
	if !s.attached {
		c = nil
	}
	s.mu.Unlock()
	if c == nil {
		if s.c.TryGo("session/call", func() { done(nil, ErrDetached) }) != nil {
			s.c.RunAfter(0, "session/call", func() { done(nil, ErrDetached) })
		}
		return
	}
	s.call(c, method, params, timeout, done)
}

func (s *Session) call(c *rpc.Conn, method string, params any, timeout time.Duration, done func(raw []byte, err error)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.CallAsync(ctx, method, params, func(raw []byte, err error) {
		cancel()
		s.c.Go("session/call", func() { done(raw, err) })
	})
}
