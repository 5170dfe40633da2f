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

// Logger writes log lines of events. It adds fields that all its lines have in common, such
// as the plug-in and the instance.
type Logger struct{ logger zerolog.Logger }

// timeFormat includes milliseconds, because a call passes through several processes within
// a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w io.Writer, level zerolog.Level) Logger {
	return Logger{logger: zerolog.New(w).Level(level).With().Timestamp().Logger()}
}

// Nop returns a logger that discards all events.
func Nop() Logger { return Logger{logger: zerolog.Nop()} }

// With returns a logger that adds a string field to each event.
func (l Logger) With(key, value string) Logger {
	return Logger{logger: l.logger.With().Str(key, value).Logger()}
}

// Log starts the log line of event e. The caller adds fields and writes the line with Send:
// l.Log(evStarted).Str("address", a).Send(). If the level of the event is disabled, Log
// returns nil, and the methods of a nil Record do nothing.
func (l Logger) Log(e *Event) *Record {
	if l.logger.GetLevel() > e.Level {
		return nil
	}
	return &Record{event: l.logger.WithLevel(e.Level).Int("event", e.Number), message: e.Message}
}

// Record is a log line that Log has started and Send has not yet written.
type Record struct {
	event   *zerolog.Event
	message string
}

// Str adds a string field.
func (r *Record) Str(key, v string) *Record {
	if r != nil {
		r.event.Str(key, v)
	}
	return r
}

// Uint adds an unsigned integer field.
func (r *Record) Uint(key string, v uint64) *Record {
	if r != nil {
		r.event.Uint64(key, v)
	}
	return r
}

// Int adds an integer field.
func (r *Record) Int(key string, v int) *Record {
	if r != nil {
		r.event.Int(key, v)
	}
	return r
}

// Float adds a floating-point field.
func (r *Record) Float(key string, v float64) *Record {
	if r != nil {
		r.event.Float64(key, v)
	}
	return r
}

// Err adds the text of err as the field "error".
func (r *Record) Err(err error) *Record {
	if r != nil {
		r.event.Err(err)
	}
	return r
}

// Send writes the log line.
func (r *Record) Send() {
	if r != nil {
		r.event.Msg(r.message)
	}
}
