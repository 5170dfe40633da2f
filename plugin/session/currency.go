package session

import (
	"time"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// currency records up to when the held configuration is known to be the newest one. All times are of this node's
// clock. The zero value knows nothing.
type currency struct {
	// confirmedAt is the latest time at which the held version is known to have been the newest one.
	confirmedAt time.Time
	// pending is the oldest statement whose version the node does not hold yet; its update is on the way.
	// A later one does not replace it: with changes at short intervals, none would ever be reached.
	pending statement
}

// statement says that no version above version had been accepted at the time at.
type statement struct {
	version resource.Version
	at      time.Time
}

// receive takes note of the statement in an answer to a request that was sent at sentAt; m may be nil.
// The instance made it after sentAt, so what it says is true for AgeMillis before sentAt at least.
func (c *currency) receive(m *peerapi.Currency, sentAt time.Time, held resource.Version) {
	if m == nil || m.Version == 0 || m.AgeMillis < 0 || m.AgeMillis > maxAgeMillis {
		return
	}
	s := statement{m.Version, sentAt.Add(-time.Duration(m.AgeMillis) * time.Millisecond)}
	switch {
	case held >= s.version:
		c.confirm(s.at)
	case c.pending.version == 0:
		c.pending = s
	}
}

// maxAgeMillis bounds the age of a statement that is taken into account. Older ones are of no use, and the
// conversion of a much larger one would overflow.
const maxAgeMillis = 3_600_000

// apply takes note of the version that the node holds now.
func (c *currency) apply(held resource.Version) {
	if c.pending.version != 0 && held >= c.pending.version {
		c.confirm(c.pending.at)
		c.pending = statement{}
	}
}

func (c *currency) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ConfigurationAge returns how long ago the held configuration is known to have been the newest one. ok is false
// if that was never known. It does not block.
func (s *Session) ConfigurationAge() (age time.Duration, ok bool) {
	now := s.c.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currency.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.currency.confirmedAt), true
}

// expectRules takes note of the index of the instance's rules of roll-outs: after a pause, calls wait for these too.
func (s *Session) expectRules(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectedRules = index
}

// receiveCurrency takes note of the statement in an answer to a request that was sent at sentAt.
func (s *Session) receiveCurrency(m *peerapi.Currency, sentAt time.Time) {
	held := resource.Version(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.view.Current(); v != nil {
		held = v.Version
	}
	s.currency.receive(m, sentAt, held)
	s.confirmAfterPause()
	s.confirmation.notify()
}

// confirmAfterPause lets calls that wait after a pause continue if the configuration has been confirmed since and the rules of
// roll-outs are those of the instance. The caller holds mu.
func (s *Session) confirmAfterPause() {
	if s.heldRules >= s.expectedRules {
		s.pauses.confirm(s.currency.confirmedAt)
	}
}
