package session

import (
	"context"
	"time"
)

// maxRefreshWait bounds the time for which calls wait after a pause of the process. A node that is cut off must go on
// serving, and within this time one that is not has an answer of its instance, or a session with another one.
const maxRefreshWait = 500 * time.Millisecond

// maxDelay is how late a periodic job may run in a process that has processor time.
const maxDelay = 500 * time.Millisecond

// pauseWatch detects that this process did not run for a while: it was stopped, or got no processor time. What it
// knew before may have changed meanwhile, and nothing tells it so until it reads what was sent to it.
type pauseWatch struct {
	// maxGap is the longest time between two activities of a process that runs.
	maxGap time.Duration
	// lastActive is the time of the last activity. After a pause, the first activity sees the gap.
	lastActive time.Time
	// resumedAt is the end of the last pause.
	resumedAt time.Time
	// refreshed is closed once the configuration was confirmed after the last pause, or after maxRefreshWait; nil if no
	// call has to wait.
	refreshed chan struct{}
}

// observe takes note of an activity at now and reports whether the process was paused before it.
func (w *pauseWatch) observe(now time.Time) (paused bool) {
	paused = !w.lastActive.IsZero() && now.Sub(w.lastActive) > w.maxGap
	w.lastActive = now
	if paused {
		w.resumedAt = now
		if w.refreshed == nil {
			w.refreshed = make(chan struct{})
		}
	}
	return paused
}

// confirm takes note that the held configuration was the newest one at the time at. A statement that was made
// just before the end of the pause counts as well: an instance confirms its state only at intervals.
func (w *pauseWatch) confirm(at time.Time) {
	if w.refreshed != nil && w.resumedAt.Sub(at) <= w.maxGap {
		w.end()
	}
}

// end lets all waiting calls continue.
func (w *pauseWatch) end() {
	if w.refreshed != nil {
		close(w.refreshed)
		w.refreshed = nil
	}
}

// observeActivity takes note that the process runs, and requests a confirmation if it was paused.
func (s *Session) observeActivity() {
	now := s.c.Clock.Now()
	s.mu.Lock()
	paused := s.pauses.observe(now)
	s.mu.Unlock()
	if !paused {
		return
	}
	age, _ := s.ConfigurationAge()
	s.c.Log.Log(evPaused).Int("confirmed_age_ms", int(age.Milliseconds())).Send()
	_ = s.c.TryGo("session/ping", s.sendPing) // an overloaded process pings at the next interval
	s.c.RunAfter(maxRefreshWait, "session/refresh", func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.pauses.resumedAt.After(now) {
			s.pauses.end()
		}
	})
}

// AwaitAfterPause blocks a call that arrives just after a pause of this process until the configuration is known to be
// current again, for maxRefreshWait at most, or until ctx ends. Otherwise it returns at once.
func (s *Session) AwaitAfterPause(ctx context.Context) {
	s.observeActivity()
	s.mu.Lock()
	refreshed := s.pauses.refreshed
	s.mu.Unlock()
	if refreshed == nil {
		return
	}
	select {
	case <-refreshed:
	case <-ctx.Done():
	}
}
