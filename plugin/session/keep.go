package session

import (
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// ping sends a heartbeat. A connection whose instance does not answer is closed,
// and the link looks for another instance.
func (s *Session) ping() {
	s.mu.Lock()
	c := s.conn
	if !s.attached {
		c = nil
	}
	s.mu.Unlock()
	if c == nil {
		return
	}
	p := &peerapi.Ping{}
	if v := s.view.Current(); v != nil {
		p.Version = v.Version
	}
	if s.report != nil {
		p.Report = s.report()
	}
	if s.calls != nil {
		p.Calls = s.calls()
	}
	s.call(c, peerapi.NodePing, p, s.s.PingTimeout.D(), func(raw []byte, err error) {
		var r peerapi.Pong
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err != nil {
			s.c.Log.Log(evNoPing).Str("process", c.Peer).Err(err).Send()
			c.Close()
			return
		}
		if s.loads != nil && len(r.Loads) > 0 {
			s.loads(r.Loads)
		}
		s.ponged(c, r.Isolated)
	})
}

// ponged notes whether the instance reaches the quorum. When it no longer does,
// the node looks for another one soon, at a random time so that the nodes of the
// instance do not move all at once.
func (s *Session) ponged(c *rpc.Conn, isolated bool) {
	s.mu.Lock()
	news := s.conn == c && isolated && !s.isolated
	if s.conn == c {
		s.isolated = isolated
	}
	s.mu.Unlock()
	if news {
		s.c.After(movePause(s.s.leavePause(), s.c.Rand()), "session/move", s.seek)
	}
}

// moveLater schedules the next check whether another instance suits better.
func (s *Session) moveLater() {
	s.c.After(movePause(s.s.HomeRetry.D(), s.c.Rand()), "session/move", func() {
		s.seek()
		s.moveLater()
	})
}

// seek connects to a better instance: one of the own zone when the node is
// attached elsewhere, any other when the current one does not reach the quorum.
// The current session is kept until the other instance has answered.
func (s *Session) seek() {
	s.mu.Lock()
	var targets []instance
	if s.attached {
		targets = better(s.list, s.home, s.conn.Peer, s.isolated)
	}
	old := s.candidate
	s.candidate = nil
	s.mu.Unlock()
	if old != nil {
		old.Close() // the attempt before did not succeed
	}
	if len(targets) == 0 {
		return
	}
	m := &move{s: s, targets: targets}
	link := s.peer.ConnectAny(m.next, m.up)
	s.mu.Lock()
	m.link = link
	over := m.over
	switch {
	case m.moved:
		s.link = link // the connection was made before ConnectAny returned
	case !over:
		s.candidate = link
	}
	s.mu.Unlock()
	if over {
		link.Close()
	}
}

// move is an attempt to move the session to another instance. Its fields are
// guarded by Session.mu.
type move struct {
	s       *Session
	targets []instance
	tried   int
	moved   bool
	// over tells that every target has answered that it suits no better.
	over bool
	link *peer.Link
}

func (m *move) next(attempt int) string {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.moved {
		return choose(s.list, attempt, s.last).address
	}
	m.tried++
	return m.targets[(m.tried-1)%len(m.targets)].address
}

// up asks the instance whether it reaches the quorum before the session moves.
func (m *move) up(c *rpc.Conn) {
	s := m.s
	s.mu.Lock()
	moved := m.moved
	s.mu.Unlock()
	if moved {
		s.up(m, c)
		return
	}
	h := &peerapi.Hello{Node: s.c.Instance.Name, Services: s.s.Services, Probe: true}
	s.call(c, peerapi.NodeHello, h, s.s.PingTimeout.D(), func(raw []byte, err error) {
		var r peerapi.HelloReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		if err != nil || r.Isolated {
			c.Close()
			m.refused()
			return
		}
		m.take(c)
	})
}

// refused ends the attempt once all targets were tried; otherwise the link goes
// on to the next one.
func (m *move) refused() {
	s := m.s
	s.mu.Lock()
	m.over = m.tried >= len(m.targets)
	over, link := m.over, m.link
	if over && s.candidate == link {
		s.candidate = nil
	}
	s.mu.Unlock()
	if over && link != nil {
		link.Close()
	}
}

// take makes the connection that of the session and closes the one before.
func (m *move) take(c *rpc.Conn) {
	s := m.s
	s.mu.Lock()
	if m.link != nil && s.candidate != m.link {
		s.mu.Unlock()
		c.Close() // the attempt was given up meanwhile
		return
	}
	m.moved = true
	old := s.link
	s.link, s.candidate, s.owner = m.link, nil, m
	s.mu.Unlock()
	s.c.Log.Log(evMoved).Str("process", c.Peer).Send()
	s.up(m, c)
	if old != nil {
		old.Close()
	}
}
