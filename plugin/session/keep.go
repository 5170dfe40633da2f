package session

import (
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
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
	s.call(c, peerapi.NodePing, p, s.s.PingTimeout.D(), func(_ []byte, err error) {
		if err != nil {
			s.c.Log.Log(evNoPing).Str("process", c.Peer).Err(err).Send()
			c.Close()
		}
	})
}

// homeLater schedules the next attempt to return to the own zone.
func (s *Session) homeLater() {
	s.mu.Lock()
	home := s.home
	s.mu.Unlock()
	if home == 0 {
		return
	}
	s.c.After(homePause(s.s.HomeRetry.D(), s.c.Rand()), "session/home", func() {
		s.goHome()
		s.homeLater()
	})
}

// goHome connects to an instance of the own zone when the node is attached
// elsewhere. The current session is kept until the new connection is made.
func (s *Session) goHome() {
	s.mu.Lock()
	away := s.attached && !s.isHome(s.conn.Peer)
	old := s.candidate
	s.candidate = nil
	s.mu.Unlock()
	if old != nil {
		old.Close() // the attempt before did not succeed
	}
	if !away {
		return
	}
	moved := false // guarded by mu
	link := s.peer.ConnectAny(func(attempt int) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !moved {
			return s.list[attempt%s.home].address
		}
		return choose(s.list, attempt, s.last).address
	}, func(c *rpc.Conn) {
		s.mu.Lock()
		first := !moved
		moved = true
		s.mu.Unlock()
		s.up(c)
		if first {
			s.moved(c)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if moved {
		s.link = link // the connection was made before ConnectAny returned
	} else {
		s.candidate = link
	}
}

// moved makes the candidate the link of the session and closes the one before.
func (s *Session) moved(c *rpc.Conn) {
	s.mu.Lock()
	old := s.link
	s.link, s.candidate = s.candidate, nil
	s.mu.Unlock()
	s.c.Log.Log(evHome).Str("process", c.Peer).Send()
	if old != nil {
		old.Close()
	}
}

func (s *Session) isHome(name string) bool {
	for _, m := range s.list[:s.home] {
		if m.name == name {
			return true
		}
	}
	return false
}
