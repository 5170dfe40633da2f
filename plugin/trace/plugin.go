// Package trace records the messages that reach the decisions of a process as
// JSON lines, so that tests can replay them.
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
	evRecording = event.Declare(980, zerolog.InfoLevel, "recording a trace of messages")
	evEnded     = event.Declare(981, zerolog.WarnLevel, "recording of the trace has ended early")
)

// queueLines bounds the lines waiting for the disk; further ones end the
// recording, because a trace with gaps cannot be replayed.
const queueLines = 8192

// Line is one message of a trace.
type Line struct {
	// At is the time at which the message reached the decision.
	At      time.Time `json:"at"`
	Plugin  string    `json:"plugin"`
	Kind    string    `json:"kind"`
	From    string    `json:"from,omitempty"`
	Message any       `json:"message,omitempty"`
}

// Trace is the plug-in. A nil Trace records nothing.
type Trace struct {
	c     *kernel.Context
	s     *Settings
	lines chan []byte
	ended chan struct{}
	once  sync.Once
}

// Of returns the trace of the process, or nil when it records none.
func Of(c *kernel.Context) *Trace {
	t, ok := kernel.Find[*Trace](c, "trace")
	if !ok || t.s.File == "" {
		return nil
	}
	return t
}

func newTrace(c *kernel.Context) *Trace {
	return &Trace{c: c, s: c.Settings.(*Settings), lines: make(chan []byte, queueLines), ended: make(chan struct{})}
}

// Record queues one message. It never blocks; message is encoded before Record
// returns.
func (t *Trace) Record(plugin, kind string, at time.Time, from string, message any) {
	if t == nil {
		return
	}
	b, err := json.Marshal(Line{At: at, Plugin: plugin, Kind: kind, From: from, Message: message})
	if err != nil {
		t.end(err)
		return
	}
	select {
	case <-t.ended:
	case t.lines <- append(b, '\n'):
	default:
		t.end(errors.New("the disk is slower than the messages"))
	}
}

func (t *Trace) end(err error) {
	t.once.Do(func() {
		t.c.Log.Log(evEnded).Err(err).Send()
		close(t.ended)
	})
}

// Start implements kernel.Plugin.
func (t *Trace) Start(ctx context.Context) error {
	if t.s.File == "" {
		return nil
	}
	if t.c.Instance.DataFolder == "" {
		return errors.New("trace/file needs instance/data_folder")
	}
	f, err := os.Create(filepath.Join(t.c.Instance.DataFolder, filepath.Base(t.s.File)))
	if err != nil {
		return errors.Wrap(err, "trace file")
	}
	t.c.Log.Log(evRecording).Str("file", f.Name()).Send()
	go t.write(ctx, f)
	return nil
}

// Stop implements kernel.Plugin.
func (t *Trace) Stop(context.Context) error { return nil }

func (t *Trace) write(ctx context.Context, f *os.File) {
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
				t.end(errors.CombineErrors(err, errors.Newf("size limit is %d bytes", t.s.MaxBytes)))
				return
			}
		case <-flush.C:
			if err := w.Flush(); err != nil {
				t.end(err)
				return
			}
		case <-t.ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Read parses a trace. Messages are left encoded as jsontext.Value.
func Read(text []byte) ([]Line, error) {
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
