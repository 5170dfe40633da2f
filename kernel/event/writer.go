package event

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the total size of the lines that wait to be written. A line that
	// would exceed it is dropped and counted.
	maxBufferedBytes = 512 << 10
	// flushDelay is how long a line may wait, so that several lines share one write.
	flushDelay = 100 * time.Millisecond
)

var newline = []byte{'\n'}

// Writer writes log lines to an output in the background. Write never blocks on the
// output: if the buffer is full, lines are dropped and counted. An idle Writer has no
// goroutine or timer running.
type Writer struct {
	out io.Writer

	// mu is a leaf lock: no other lock is acquired while it is held.
	mu     sync.Mutex
	buffer []byte
	// spareBuffer is the buffer of the previous flush, to be used again; nil during a flush.
	spareBuffer []byte
	// flushScheduled is true while a background flush is scheduled or running.
	flushScheduled bool
	droppedLines   uint64
	acceptedLines  uint64
	acceptedBytes  uint64

	// outMu serializes writes to out. It is acquired before mu, and never by Write.
	outMu sync.Mutex
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write queues one line. It never returns an error, because a failing log must not stop
// the process.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > maxBufferedBytes {
		w.droppedLines++
		return len(p), nil
	}
	w.acceptedLines++
	w.acceptedBytes += uint64(len(p))
	w.buffer = append(w.buffer, p...)
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(flushDelay, w.flushInBackground)
	}
	return len(p), nil
}

func (w *Writer) flushInBackground() {
	w.Flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flushScheduled = len(w.buffer) > 0
	if w.flushScheduled {
		time.AfterFunc(flushDelay, w.flushInBackground)
	}
}

// Flush writes the buffered lines. It may block on the output.
func (w *Writer) Flush() {
	w.outMu.Lock()
	defer w.outMu.Unlock()
	w.mu.Lock()
	batch := w.buffer
	w.buffer, w.spareBuffer = w.spareBuffer[:0], nil
	w.mu.Unlock()
	lost := 0
	if len(batch) > 0 {
		if n, err := w.out.Write(batch); err != nil {
			// A failure of the log output cannot be logged; it shows only in the count of
			// dropped lines.
			lost = bytes.Count(batch[n:], newline)
		}
	}
	w.mu.Lock()
	w.spareBuffer = batch[:0]
	w.droppedLines += uint64(lost)
	w.mu.Unlock()
}

// FlushWithin calls Flush and waits for it for at most timeout. After a timeout the flush
// continues in the background.
func (w *Writer) FlushWithin(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		w.Flush()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Counts returns the lines and bytes accepted and the lines dropped since the Writer was
// created. Lines are dropped if the buffer is full or a write to the output fails.
func (w *Writer) Counts() (lines, bytes, dropped uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acceptedLines, w.acceptedBytes, w.droppedLines
}
