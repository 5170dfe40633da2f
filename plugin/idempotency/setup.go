package idempotency

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "idempotency",
		Needs: []string{"peer", "view"},
		Settings: func() any {
			return &Settings{
				Keep: settings.Duration(10 * time.Minute), Claims: 20000, AnswerBytes: 16 << 20,
				MessageTimeout: settings.Duration(time.Second), CopyTimeout: settings.Duration(10 * time.Second), Workers: 4, Queue: 1024,
			}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newIdempotency(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// Keep is how long a claim is kept after its call has ended.
	Keep settings.Duration `json:"keep"`
	// Claims is the maximum number of claims in the table. Calls with a new key are refused
	// while the table is full.
	Claims int `json:"claims"`
	// AnswerBytes is the maximum size of all stored answers together, in bytes. An answer that
	// would exceed it is not stored: a repeat of its call is answered without it.
	AnswerBytes int `json:"answer_bytes"`
	// MessageTimeout is the maximum time for a message to another holder of a claim,
	// including its answer.
	MessageTimeout settings.Duration `json:"message_timeout"`
	// CopyTimeout is the maximum time for copying all claims after a change of the endpoints.
	// An endpoint that has been ready for less than this time may lack claims.
	CopyTimeout settings.Duration `json:"copy_timeout"`
	// Workers is the number of workers that copy outcomes and claims to other holders in the
	// background.
	Workers int `json:"workers"`
	// Queue is the maximum number of messages to other holders that wait for a worker. Further
	// messages are dropped and logged.
	Queue int `json:"queue"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.Keep < settings.Duration(time.Second):
		return settings.FieldErrorf("keep", "must be at least 1s")
	case s.Claims < 1 || s.Claims > 1<<20:
		return settings.FieldErrorf("claims", "%d is outside 1..1048576", s.Claims)
	case s.AnswerBytes < 0:
		return settings.FieldErrorf("answer_bytes", "must not be negative")
	case s.MessageTimeout <= 0:
		return settings.FieldErrorf("message_timeout", "must be positive")
	case s.CopyTimeout < s.MessageTimeout:
		return settings.FieldErrorf("copy_timeout", "must not be below message_timeout")
	case s.Workers < 1 || s.Workers > 64:
		return settings.FieldErrorf("workers", "%d is outside 1..64", s.Workers)
	case s.Queue < 1:
		return settings.FieldErrorf("queue", "%d is below 1", s.Queue)
	}
	return nil
}
