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
	// File is the name of the trace file in the data folder; empty turns recording off.
	File string `json:"file"`
	// MaxBytes is the size of the trace file, in bytes, above which recording stops.
	MaxBytes int64 `json:"max_bytes"`
}
