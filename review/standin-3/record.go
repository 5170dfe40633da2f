package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// logf writes one line.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as seconds since the start.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }
