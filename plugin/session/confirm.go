package session

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// confirmInterval is the shortest time between two requests for a confirmation. One request serves all calls that wait,
	// so that calls with unknown keys, however many there are, cause four messages per second at most.
	confirmInterval = 250 * time.Millisecond
	// confirmTimeout bounds the wait for the answer to one request. Calls wait for a second at most.
	confirmTimeout = 900 * time.Millisecond
)

// confirmation lets calls wait until the configuration is confirmed. The zero value is valid.
type confirmation struct {
	// changed is closed at the next statement of the instance on the currency, and if a request for one has failed; nil
	// if no call waits.
	changed chan struct{}
	// scheduled is set while a request is scheduled, and sentAt is the time of the last one.
	scheduled bool
	sentAt    time.Time
}

// notify wakes the waiting calls.
func (c *confirmation) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// AwaitConfirmation blocks until the held configuration is known to have been the newest one at a time after the call, and
// returns true. It returns false when ctx ends. The view then holds that configuration or a later one.
func (s *Session) AwaitConfirmation(ctx context.Context) bool {
	since := s.c.Clock.Now()
	for {
		s.mu.Lock()
		if !s.currency.confirmedAt.Before(since) {
			s.mu.Unlock()
			return true
		}
		if s.confirmation.changed == nil {
			s.confirmation.changed = make(chan struct{})
		}
		changed := s.confirmation.changed
		if !s.confirmation.scheduled {
			s.confirmation.scheduled = true
			s.c.RunAfter(max(confirmInterval-s.c.Clock.Now().Sub(s.confirmation.sentAt), 0), "session/confirm", s.requestConfirmation)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// requestConfirmation asks the instance for its newest version, which it confirms with a majority of the voters first.
func (s *Session) requestConfirmation() {
	sentAt := s.c.Clock.Now()
	s.mu.Lock()
	s.confirmation.scheduled, s.confirmation.sentAt = false, sentAt
	s.mu.Unlock()
	s.Call(peerapi.NodeConfirm, &peerapi.Empty{}, confirmTimeout, func(raw []byte, err error) {
		var m peerapi.Currency
		if err == nil {
			err = json.Unmarshal(raw, &m)
		}
		if err == nil {
			s.receiveCurrency(&m, sentAt)
			return
		}
		s.mu.Lock()
		s.confirmation.notify() // the calls that still wait request another one
		s.mu.Unlock()
	})
}
