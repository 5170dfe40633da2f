// Package session keeps a node attached to a control instance and hands the
// updates that arrive to the view.
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
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/admin"
	"github.com/celeryyard/celeryyard/plugin/peer"
	"github.com/celeryyard/celeryyard/plugin/trace"
)

var (
	evAttached = event.Declare(600, zerolog.InfoLevel, "attached to control instance")
	evRefused  = event.Declare(601, zerolog.WarnLevel, "control instance refused the session")
	evNoPing   = event.Declare(602, zerolog.WarnLevel, "control instance does not answer; looking for another")
	evInvalid  = event.Declare(603, zerolog.WarnLevel, "message of a control instance refused")
	evMoved    = event.Declare(604, zerolog.InfoLevel, "moving to a control instance that suits better")
	evNoHome   = event.Declare(605, zerolog.ErrorLevel, "settings name no control instance")
)

// Pauses after refused sessions.
const (
	minRefusedPause = 100 * time.Millisecond
	maxRefusedPause = 5 * time.Second
)

// stateKey orders the jobs that read or change what the node holds.
const stateKey = "session/state"

// ErrDetached means that the node has no session at the moment.
var ErrDetached = errors.New("node is not attached to a control instance")

// Session is the plug-in. OnAttach is called before Start.
type Session struct {
	c           *kernel.Context
	s           *Settings
	peer        *peer.Peer
	view        api.View
	trace       *trace.Trace
	incarnation uint64
	ctx         context.Context
	attach      []func()
	report      func() *peerapi.LoadReport
	calls       func() []string
	loads       func([]peerapi.ServiceLoads)

	// mu guards everything below.
	mu   *rank.Mutex
	list []instance
	home int
	last string
	// link makes the current connection; candidate one to an instance that may
	// suit better.
	link, candidate *peer.Link
	// owner is the move that made link; nil for the first link.
	owner    *move
	conn     *rpc.Conn
	attached bool
	// isolated tells that the current instance does not reach the quorum.
	isolated bool
	// refused counts refused sessions in a row.
	refused int

	sessions *metrics.Counter
}

func newSession(c *kernel.Context) *Session {
	s := &Session{
		c: c, s: c.Settings.(*Settings), peer: kernel.Use[*peer.Peer](c, "peer"), view: kernel.Use[api.View](c, "view"),
		trace: trace.Of(c), incarnation: uint64(c.Clock.Now().UnixMilli()), mu: rank.New(rank.Session),
		sessions: c.Metrics.NewCounter("celeryyard_session_attachments_total"),
	}
	c.Metrics.NewGauge("celeryyard_session_attached", func() float64 {
		if s.Attached() {
			return 1
		}
		return 0
	})
	s.peer.Handle(peerapi.NodeUpdate, s.onUpdate)
	s.peer.OnInstance(func(peer.Member) { s.arrange() })
	s.peer.OnClose(s.onClose)
	if a, ok := kernel.Find[*admin.Admin](c, "admin"); ok {
		a.Ready(func() error {
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

// OnAttach adds a function that is called in a job after each start of a session.
func (s *Session) OnAttach(f func()) { s.attach = append(s.attach, f) }

// OnReport sets where a ping takes its report of the upstream from; f may return nil.
// It is called before Start.
func (s *Session) OnReport(f func() *peerapi.LoadReport) { s.report = f }

// OnLoads sets which services' loads pings ask for and who takes them. It is called
// before Start; loads is called in a job.
func (s *Session) OnLoads(calls func() []string, loads func([]peerapi.ServiceLoads)) {
	s.calls, s.loads = calls, loads
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
		s.c.Log.Log(evNoHome).Send()
		return errors.New("peer names no control instance")
	}
	s.arrange()
	link := s.peer.ConnectAny(s.next, func(c *rpc.Conn) { s.up(nil, c) })
	s.mu.Lock()
	s.link = link
	s.mu.Unlock()
	s.c.Every("session/ping", s.s.PingInterval.D(), s.ping)
	s.moveLater()
	return nil
}

// arrange puts the known control instances into the order in which they are tried.
func (s *Session) arrange() {
	var members []instance
	for _, m := range s.peer.Instances() {
		members = append(members, instance{m.Name, m.Address, m.AvailabilityZone})
	}
	list, home := order(members, s.c.Instance.AvailabilityZone, s.c.Rand())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list, s.home = list, home
}

// Stop implements kernel.Plugin.
func (s *Session) Stop(context.Context) error { return nil }

// next runs on the goroutine of the link. After refused sessions it waits, since
// the link itself slows down only after failed connections.
func (s *Session) next(attempt int) string {
	s.mu.Lock()
	refused := s.refused
	s.mu.Unlock()
	if refused > 0 {
		wait := time.NewTimer(peer.Backoff(refused, minRefusedPause, maxRefusedPause, s.c.Rand()))
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-s.ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return choose(s.list, attempt, s.last).address
}

// up runs when the link of the given owner has made a connection. The link may have been
// replaced meanwhile: its connection must not take the place of the newer link's, which
// nobody would attach again.
func (s *Session) up(owner *move, c *rpc.Conn) {
	s.mu.Lock()
	if s.owner != owner {
		s.mu.Unlock()
		c.Close()
		return
	}
	s.conn, s.attached, s.isolated, s.last = c, false, false, c.Peer
	s.mu.Unlock()
	if s.c.Next(stateKey, func() { s.hello(c) }) != nil {
		c.Close() // the process is overloaded; the link connects again later
	}
}

// hello tells the instance what the node holds. It runs after all updates of
// earlier sessions, so that the node's state does not change behind it.
func (s *Session) hello(c *rpc.Conn) {
	version, digests := peerapi.Digests(s.view.Current())
	h := &peerapi.Hello{
		Node: s.c.Instance.Name, AvailabilityZone: s.c.Instance.AvailabilityZone, Incarnation: s.incarnation,
		Services: s.s.Services, Version: version, Digests: digests,
	}
	s.call(c, peerapi.NodeHello, h, s.s.PingTimeout.D(), func(raw []byte, err error) {
		var r peerapi.HelloReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err != nil {
			s.c.Log.Log(evRefused).Str("process", c.Peer).Err(err).Send()
			s.mu.Lock()
			s.refused++
			s.mu.Unlock()
			c.Close()
			return
		}
		for _, m := range r.Instances {
			s.peer.LearnName(m.Name, m.AvailabilityZone)
		}
		s.established(c, &r)
	})
}

func (s *Session) established(c *rpc.Conn, r *peerapi.HelloReply) {
	s.mu.Lock()
	current := s.conn == c
	s.attached = s.attached || current
	if current {
		s.last, s.refused = "", 0
	}
	s.mu.Unlock()
	if !current {
		return
	}
	s.sessions.Inc()
	s.c.Log.Log(evAttached).Str("process", c.Peer).Str("waiting", r.Waiting).Send()
	for _, f := range s.attach {
		f()
	}
}

func (s *Session) onClose(c *rpc.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == c {
		s.conn, s.attached, s.last = nil, false, c.Peer
	}
}

// onUpdate hands an update on.
func (s *Session) onUpdate(c *rpc.Conn, r *rpc.Request) {
	if s.c.Next(stateKey, func() { s.update(c, r) }) != nil {
		c.Close() // the process is overloaded; the session is resumed later
	}
}

// update applies an update as one unit and acknowledges the outcome.
func (s *Session) update(c *rpc.Conn, r *rpc.Request) {
	s.mu.Lock()
	current := s.conn == c
	s.mu.Unlock()
	if !current {
		return // the session has moved; the new instance sends what is missing
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
	if err != nil {
		a.Rejected = err.Error()
	}
	if err := c.Notify(peerapi.NodeAck, a); err != nil {
		c.Close()
	}
}

// Call sends a request on the session. done is called in a job.
func (s *Session) Call(method string, params any, timeout time.Duration, done func(raw []byte, err error)) {
	s.mu.Lock()
	c := s.conn
	if !s.attached {
		c = nil
	}
	s.mu.Unlock()
	if c == nil {
		if s.c.Next("session/call", func() { done(nil, ErrDetached) }) != nil {
			s.c.After(0, "session/call", func() { done(nil, ErrDetached) })
		}
		return
	}
	s.call(c, method, params, timeout, done)
}

func (s *Session) call(c *rpc.Conn, method string, params any, timeout time.Duration, done func(raw []byte, err error)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.Go(ctx, method, params, func(raw []byte, err error) {
		cancel()
		s.c.Go("session/call", func() { done(raw, err) })
	})
}
