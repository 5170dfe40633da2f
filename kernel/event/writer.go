package event

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// writerBytes bounds the lines that wait for the output; further ones are
	// dropped and counted.
	writerBytes = 512 << 10
	// writerDelay gathers lines into one write.
	writerDelay = 100 * time.Millisecond
)

var newline = []byte{'\n'}

// Writer hands log lines to an output in the background. Write never waits for the
// output: lines that find the buffer full are dropped and counted. An idle Writer
// runs nothing.
type Writer struct {
	out io.Writer

	// mu is a leaf lock: nothing is called while it is held.
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	// flushing tells that a flush is scheduled or running.
	flushing bool
	dropped  uint64
	lines    uint64
	bytes    uint64

	// write serialises the output. It is taken before mu and never by Write.
	write sync.Mutex
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write queues one line. It returns no error: a log must not stop its process.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(p) > writerBytes {
		w.dropped++
		return len(p), nil
	}
	w.lines++
	w.bytes += uint64(len(p))
	w.waiting = append(w.waiting, p...)
	if !w.flushing {
		w.flushing = true
		time.AfterFunc(writerDelay, w.flush)
	}
	return len(p), nil
}

func (w *Writer) flush() {
	w.Flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flushing = len(w.waiting) > 0
	if w.flushing {
		time.AfterFunc(writerDelay, w.flush)
	}
}

// Flush writes the waiting lines. It may block on the output.
func (w *Writer) Flush() {
	w.write.Lock()
	defer w.write.Unlock()
	w.mu.Lock()
	batch := w.waiting
	w.waiting, w.spare = w.spare[:0], nil
	w.mu.Unlock()
	lost := 0
	if len(batch) > 0 {
		if n, err := w.out.Write(batch); err != nil {
			// An output that fails has nowhere to be reported but in the count.
			lost = bytes.Count(batch[n:], newline)
		}
	}
	w.mu.Lock()
	w.spare = batch[:0]
	w.dropped += uint64(lost)
	w.mu.Unlock()
}

// FlushWithin is Flush with a bound on the wait. The output may still be written to
// after it.
func (w *Writer) FlushWithin(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		w.Flush()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Counts returns the lines and bytes taken and the lines dropped since the start: those
// that found the buffer full and those that the output did not take.
func (w *Writer) Counts() (lines, bytes, dropped uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines, w.bytes, w.dropped
}
