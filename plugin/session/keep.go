package session

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// sendPing sends a heartbeat if the node is attached. If the instance does not answer and nothing else
// arrives from it either, the connection is closed and the link connects to another instance. An answer
// may wait behind a large update, on a slow link or while this node decodes it; a new session would have to get
// that update again.
func (s *Session) sendPing() {
	s.mu.Lock()
	c := s.conn
	if !s.attached {
		c = nil
	}
	s.mu.Unlock()
	if c == nil {
		return
	}
	p := s.newPing()
	received, sentAt := c.Traffic.Received.Load(), s.c.Clock.Now()
	s.call(c, peerapi.NodePing, p, s.s.PingTimeout.AsDuration(), func(raw []byte, err error) {
		if errors.Is(err, context.DeadlineExceeded) && (c.Traffic.Received.Load() != received || !c.Traffic.Awaiting.Load()) {
			return // a later ping decides
		}
		var r peerapi.Pong
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err != nil {
			s.c.Log.Log(evPingFailed).Str("process", c.Peer).Err(err).Send()
			c.Close()
			return
		}
		s.expectRules(r.Rules)
		s.receiveCurrency(r.Currency, sentAt)
		if s.onLoads != nil && len(r.Loads) > 0 {
			s.onLoads(r.Loads)
		}
		if s.rollouts.Permits != nil && len(r.Permits) > 0 {
			s.rollouts.Permits(r.Permits, sentAt)
		}
		if r.Unreachable != nil && !r.Isolated {
			s.recordUnreachable(*r.Unreachable)
		}
		s.mu.Lock()
		s.failures.clear()
		s.mu.Unlock()
		s.recordIsolation(c, r.Isolated)
	})
}

// newPing returns the next heartbeat. With reports on roll-outs, it also schedules the one after it sooner.
func (s *Session) newPing() *peerapi.Ping {
	p := &peerapi.Ping{}
	if v := s.view.Current(); v != nil {
		p.Version = v.Version
	}
	if s.loadReport != nil {
		p.Report = s.loadReport()
	}
	if s.calledServices != nil {
		p.Calls = s.calledServices()
	}
	if s.rollouts.Reports != nil {
		if p.Rollouts = s.rollouts.Reports(); len(p.Rollouts) > 0 {
			s.keepPingingFast()
		}
	}
	return p
}

// recordUnreachable changes the order of the instances to one in which the named ones come last. Lists
// of an isolated instance are not used: it is the one that is unreachable.
func (s *Session) recordUnreachable(names []string) {
	s.mu.Lock()
	changed := !slices.Equal(names, s.unreachable)
	s.unreachable = names
	s.mu.Unlock()
	if changed {
		s.updateInstances()
	}
}

// recordIsolation records whether the instance of the connection c reaches the quorum. While it does
// not, the node tries to move to another instance, each time after a random pause, so that the
// nodes of the instance do not move all at once. An attempt can fail because all instances are
// isolated during an election, so each report schedules one unless one is scheduled or in progress. The pause
// grows with each failed attempt.
// recordIsolation does nothing if c is no longer the session's connection.
func (s *Session) recordIsolation(c *rpc.Conn, isolated bool) {
	s.mu.Lock()
	if s.conn != c {
		s.mu.Unlock()
		return
	}
	s.isolated = isolated
	if !isolated {
		s.failedLeaves = 0
	}
	pause := s.s.meanLeavePause(s.failedLeaves)
	schedule := isolated && !s.leaveScheduled && s.candidate == nil
	s.leaveScheduled = s.leaveScheduled || schedule
	s.mu.Unlock()
	if schedule {
		s.c.RunAfter(randomMovePause(pause, s.c.NewRand()), "session/move", s.leaveIsolated)
	}
}

// leaveIsolated tries to move the session if its instance is still isolated.
func (s *Session) leaveIsolated() {
	s.mu.Lock()
	s.leaveScheduled = false
	isolated := s.isolated
	s.mu.Unlock()
	if isolated {
		s.tryMove()
	}
}

// scheduleMove schedules the periodic attempts to move to a better instance.
func (s *Session) scheduleMove() {
	s.c.RunAfter(randomMovePause(s.s.HomeRetry.AsDuration(), s.c.NewRand()), "session/move", func() {
		s.tryMove()
		s.scheduleMove()
	})
}

// tryMove connects to a better instance, if there is one: an instance of the node's own zone when
// the node is attached in another zone, any other instance when the current one does not reach the
// quorum. The current session is kept until the other instance has answered. If the previous attempt
// is still in progress, it is abandoned.
func (s *Session) tryMove() {
	s.mu.Lock()
	var targets []instance
	if s.attached {
		targets = betterInstances(s.instances, s.homeCount, s.conn.Peer, s.isolated)
		if s.isolated {
			targets = leaveTargets(targets, s.failedLeaves)
		}
	}
	previous := s.candidate
	s.candidate = nil
	s.mu.Unlock()
	if previous != nil {
		previous.Close() // the previous attempt has not succeeded so far
	}
	if len(targets) == 0 {
		return
	}
	attempt := &moveAttempt{s: s, targets: targets}
	link := s.peer.ConnectAny(attempt.nextAddress, attempt.onConnect)
	s.mu.Lock()
	attempt.link = link
	exhausted := attempt.exhausted
	switch {
	case attempt.moved:
		s.link = link // the connection was made before ConnectAny returned
	case !exhausted:
		s.candidate = link
	}
	s.mu.Unlock()
	if exhausted {
		link.Close()
	}
}

// moveAttempt is an attempt to move the session to another instance, one of targets. Its fields are
// guarded by Session.mu.
type moveAttempt struct {
	s          *Session
	targets    []instance
	triedCount int
	// refusedCount counts the targets that were asked and do not suit.
	refusedCount int
	moved        bool
	// exhausted is set when all targets have been tried, or maxRefusalsPerMove of them have been asked,
	// and none was suitable.
	exhausted bool
	link      *peer.Link
}

// nextAddress returns the address for the link's next connection: that of the next target, or of
// any instance once the session has moved.
func (m *moveAttempt) nextAddress(attempt int) string {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.moved {
		return s.chooseNext(attempt).address
	}
	m.triedCount++
	return m.targets[(m.triedCount-1)%len(m.targets)].address
}

// onConnect asks the connected instance whether it reaches the quorum, and moves the session to it
// if so.
func (m *moveAttempt) onConnect(c *rpc.Conn) {
	s := m.s
	s.mu.Lock()
	moved := m.moved
	s.mu.Unlock()
	if moved {
		s.onConnect(m, c)
		return
	}
	h := &peerapi.Hello{Node: s.c.Instance.Name, Services: s.s.Services, Probe: true}
	s.call(c, peerapi.NodeHello, h, s.s.PingTimeout.AsDuration(), func(raw []byte, err error) {
		var r peerapi.HelloReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err != nil || r.Isolated {
			c.Close()
			m.handleRefusal()
			return
		}
		m.switchSession(c)
	})
}

// handleRefusal ends the attempt once it is exhausted; otherwise the link continues with the next target.
func (m *moveAttempt) handleRefusal() {
	s := m.s
	s.mu.Lock()
	m.refusedCount++
	m.exhausted = m.triedCount >= len(m.targets) || m.refusedCount >= maxRefusalsPerMove
	exhausted, asked, link := m.exhausted, m.refusedCount, m.link
	if exhausted && s.candidate == link {
		s.candidate = nil
	}
	reason, current := "zone", ""
	if s.isolated {
		reason = "isolated"
		if exhausted {
			s.failedLeaves++
		}
	}
	if s.conn != nil {
		current = s.conn.Peer
	}
	s.mu.Unlock()
	if !exhausted {
		return
	}
	s.c.Log.Log(evNotMoved).Str("process", current).Str("reason", reason).Int("asked", asked).Send()
	if link != nil {
		link.Close()
	}
}

// switchSession moves the session to the connection c and closes the previous link.
func (m *moveAttempt) switchSession(c *rpc.Conn) {
	s := m.s
	s.mu.Lock()
	if m.link != nil && s.candidate != m.link {
		s.mu.Unlock()
		c.Close() // the attempt has been abandoned
		return
	}
	m.moved = true
	previous := s.link
	s.link, s.candidate, s.linkMove = m.link, nil, m
	s.mu.Unlock()
	s.c.Log.Log(evMoved).Str("process", c.Peer).Send()
	s.onConnect(m, c)
	if previous != nil {
		previous.Close()
	}
}
