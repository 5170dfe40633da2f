// Package trace records the input messages of a process's decisions as JSON lines, so that tests can
// replay them.
package trace

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
)

var (
	evRecording    = event.Declare(980, zerolog.InfoLevel, "recording a trace of messages")
	evStoppedEarly = event.Declare(981, zerolog.WarnLevel, "trace recording stopped early")
)

// maxQueuedLines bounds the lines that wait to be written to disk. If the queue is full, recording
// stops, because a trace with gaps cannot be replayed.
const maxQueuedLines = 8192

// Line is one message of a trace.
type Line struct {
	// At is the time at which the decision received the message.
	At time.Time `json:"at"`
	// Plugin is the name of the plug-in that received the message.
	Plugin string `json:"plugin"`
	// Kind is the kind of the message, such as "entry" or "ack"; each plug-in has its own kinds.
	Kind string `json:"kind"`
	// From is the name of the sender; empty if the message came from the process itself.
	From    string `json:"from,omitempty"`
	Message any    `json:"message,omitempty"`
}

// Trace is the plug-in. A nil Trace records nothing.
type Trace struct {
	c        *kernel.Context
	s        *Settings
	lines    chan []byte
	stopped  chan struct{}
	stopOnce sync.Once
}

// Find returns the trace of the process, or nil if the process records no trace.
func Find(c *kernel.Context) *Trace {
	t, ok := kernel.Find[*Trace](c, "trace")
	if !ok || t.s.File == "" {
		return nil
	}
	return t
}

func newTrace(c *kernel.Context) *Trace {
	return &Trace{c: c, s: c.Settings.(*Settings), lines: make(chan []byte, maxQueuedLines), stopped: make(chan struct{})}
}

// Record queues one message for writing. It never blocks, and it encodes message before it returns.
func (t *Trace) Record(plugin, kind string, at time.Time, from string, message any) {
	if t == nil {
		return
	}
	b, err := json.Marshal(Line{At: at, Plugin: plugin, Kind: kind, From: from, Message: message})
	if err != nil {
		t.stopRecording(err)
		return
	}
	select {
	case <-t.stopped:
	case t.lines <- append(b, '\n'):
	default:
		t.stopRecording(errors.New("disk cannot keep up with the messages: the queue is full"))
	}
}

func (t *Trace) stopRecording(err error) {
	t.stopOnce.Do(func() {
		t.c.Log.Log(evStoppedEarly).Err(err).Send()
		close(t.stopped)
	})
}

// Start implements kernel.Plugin.
func (t *Trace) Start(ctx context.Context) error {
	if t.s.File == "" {
		return nil
	}
	if t.c.Instance.DataFolder == "" {
		return errors.New("trace/file requires instance/data_folder")
	}
	f, err := os.Create(filepath.Join(t.c.Instance.DataFolder, filepath.Base(t.s.File)))
	if err != nil {
		return errors.Wrap(err, "create trace file")
	}
	t.c.Log.Log(evRecording).Str("file", f.Name()).Send()
	go t.writeLines(ctx, f)
	return nil
}

// Stop implements kernel.Plugin.
func (t *Trace) Stop(context.Context) error { return nil }

func (t *Trace) writeLines(ctx context.Context, f *os.File) {
	defer f.Close()
	w := bufio.NewWriter(f)
	defer w.Flush()
	flush := time.NewTicker(time.Second)
	defer flush.Stop()
	var size int64
	for {
		select {
		case b := <-t.lines:
			size += int64(len(b))
			if _, err := w.Write(b); err != nil || size > t.s.MaxBytes {
				t.stopRecording(errors.CombineErrors(err, errors.Newf("size limit of the trace file is %d bytes", t.s.MaxBytes)))
				return
			}
		case <-flush.C:
			if err := w.Flush(); err != nil {
				t.stopRecording(err)
				return
			}
		case <-t.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Parse parses a trace. The messages stay encoded, as *jsontext.Value.
func Parse(text []byte) ([]Line, error) {
	var out []Line
	for start := 0; start < len(text); {
		end := start
		for end < len(text) && text[end] != '\n' {
			end++
		}
		if end > start {
			line := Line{Message: &jsontext.Value{}}
			if err := json.Unmarshal(text[start:end], &line); err != nil {
				return nil, errors.Wrapf(err, "line %d of the trace", len(out)+1)
			}
			out = append(out, line)
		}
		start = end + 1
	}
	return out, nil
}
