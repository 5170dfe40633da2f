package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	began time.Time

	mu     sync.Mutex
	out    *bufio.Writer
	closed bool
}

func newRecorder(w io.Writer) *recorder {
	return &recorder{began: time.Now(), out: bufio.NewWriter(w)}
}

// logf writes one line. It does nothing once the recorder is closed.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close writes what is buffered. Endpoints and clients that still run are not recorded any more.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.out.Flush()
}

// at returns a time as seconds since the start.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }
