package trace

import (
	"github.com/celeryyard/celeryyard/kernel"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "trace",
		Settings: func() any { return &Settings{MaxBytes: 64 << 20} },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newTrace(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// File names the trace file inside the data folder; empty turns tracing off.
	File string `json:"file"`
	// MaxBytes ends the recording when the file has reached this size.
	MaxBytes int64 `json:"max_bytes"`
}
