// Package event writes numbered log events. Each event is declared once with its number,
// level and message; docs/events.md lists all events.
package event

import (
	"fmt"
	"io"
	"sort"

	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel/rank"
)

// Event is a declared log event.
type Event struct {
	// Number is unique in the code base; the hundreds identify the subsystem.
	Number int
	Level  zerolog.Level
	// Message is the constant text of the event.
	Message string
}

var (
	mu       = rank.NewMutex(rank.Events)
	declared = map[int]*Event{}
)

// Declare registers an event. It is called during package initialization and panics if the
// number is already registered.
func Declare(number int, level zerolog.Level, message string) *Event {
	mu.Lock()
	defer mu.Unlock()
	if existing, ok := declared[number]; ok {
		panic(fmt.Sprintf("event %d is declared twice: %q and %q", number, existing.Message, message))
	}
	e := &Event{Number: number, Level: level, Message: message}
	declared[number] = e
	return e
}

// All returns all registered events in ascending order of their numbers.
func All() []*Event {
	mu.Lock()
	defer mu.Unlock()
	list := make([]*Event, 0, len(declared))
	for _, e := range declared {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// Logger writes events with a set of common fields, such as the plug-in and the instance.
type Logger struct{ z zerolog.Logger }

// timeFormat includes milliseconds, because a call passes through several processes within
// a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w io.Writer, level zerolog.Level) Logger {
	return Logger{z: zerolog.New(w).Level(level).With().Timestamp().Logger()}
}

// Nop returns a logger that discards all events.
func Nop() Logger { return Logger{z: zerolog.Nop()} }

// With returns a logger that adds a string field to each event.
func (l Logger) With(key, value string) Logger {
	return Logger{z: l.z.With().Str(key, value).Logger()}
}

// Log starts a log record of event e. Add fields to it and write it with Send:
// l.Log(evStarted).Str("address", a).Send(). If the level is disabled, the record is nil
// and its methods do nothing.
func (l Logger) Log(e *Event) *Record {
	if l.z.GetLevel() > e.Level {
		return nil
	}
	return &Record{e: l.z.WithLevel(e.Level).Int("event", e.Number), msg: e.Message}
}

// Record is one log line under construction. A nil Record discards everything.
type Record struct {
	e   *zerolog.Event
	msg string
}

// Str adds a string field.
func (r *Record) Str(key, v string) *Record {
	if r != nil {
		r.e.Str(key, v)
	}
	return r
}

// Uint adds an unsigned integer field.
func (r *Record) Uint(key string, v uint64) *Record {
	if r != nil {
		r.e.Uint64(key, v)
	}
	return r
}

// Int adds an integer field.
func (r *Record) Int(key string, v int) *Record {
	if r != nil {
		r.e.Int(key, v)
	}
	return r
}

// Float adds a floating-point field.
func (r *Record) Float(key string, v float64) *Record {
	if r != nil {
		r.e.Float64(key, v)
	}
	return r
}

// Err adds the text of err as the field "error".
func (r *Record) Err(err error) *Record {
	if r != nil {
		r.e.Err(err)
	}
	return r
}

// Send writes the log line.
func (r *Record) Send() {
	if r != nil {
		r.e.Msg(r.msg)
	}
}
