package session

import (
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// RolloutCallbacks connects the session with the plug-in that chooses endpoints by version.
type RolloutCallbacks struct {
	// Rules is called in a job with received rules and returns the index of the rules that are held then.
	Rules func(m *peerapi.Rollouts) uint64
	// Reports returns the reports on roll-outs in progress for the next ping; empty if there is none.
	Reports func() []peerapi.RolloutReport
	// Permits is called in a job with the permits that answer a ping sent at sentAt.
	Permits func(permits []peerapi.Permit, sentAt time.Time)
}

// SetRolloutCallbacks sets the callbacks for roll-outs. It must be called before Start.
func (s *Session) SetRolloutCallbacks(c RolloutCallbacks) { s.rollouts = c }

// receiveRules submits a job that applies rules of roll-outs and confirms them, or closes the connection if the job cannot be
// queued: the next session brings them.
func (s *Session) receiveRules(c *rpc.Conn, r *rpc.Request) {
	m := &peerapi.Rollouts{}
	if err := r.Decode(m); err != nil {
		s.c.Log.Log(evInvalid).Str("process", c.Peer).Err(err).Send()
		r.ReplyError(rpc.CodeInvalidParams, err)
		return
	}
	if s.c.TryGo(stateKey, func() {
		index := m.Index
		if s.rollouts.Rules != nil {
			index = s.rollouts.Rules(m)
		}
		s.mu.Lock()
		isNew := index > s.heldRules
		s.heldRules = max(s.heldRules, index)
		s.confirmAfterPause()
		s.mu.Unlock()
		if isNew {
			s.c.Log.Log(evRules).Str("process", c.Peer).Uint("index", index).Int("services", len(m.Rules)).Send()
		}
		r.Reply(&peerapi.RolloutsReply{Index: index})
		if s.rollouts.Reports != nil && len(s.rollouts.Reports()) > 0 {
			s.sendPing()
		}
	}) != nil {
		c.Close()
	}
}

// keepPingingFast schedules pings at short intervals while there are roll-outs to report on.
func (s *Session) keepPingingFast() {
	s.mu.Lock()
	scheduled := s.fastPings
	s.fastPings = true
	s.mu.Unlock()
	if scheduled {
		return
	}
	s.c.RunAfter(peerapi.RolloutPingInterval, "session/ping", func() {
		s.mu.Lock()
		s.fastPings = false
		s.mu.Unlock()
		if len(s.rollouts.Reports()) > 0 {
			s.sendPing()
		}
	})
}
