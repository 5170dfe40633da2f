package pressure

import (
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name: "pressure",
		Settings: func() any {
			d := httphead.DefaultRequestLimits()
			return &Settings{MaxLines: d.Lines, MaxFoldedLines: d.FoldedLines, MaxTrailerLines: d.TrailerLines, MaxNameBytes: d.NameBytes, MaxValueBytes: d.ValueBytes}
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newPressure(c), nil },
	})
}

// Settings configures the plug-in. The defaults let any request with a head of at most 16,384 bytes pass.
type Settings struct {
	// MaxHeldMB is the memory in MiB that connections may hold together; 0 means 16 % of instance/memory_mb, or 256 if that is 0.
	MaxHeldMB float64 `json:"max_held_mb"`
	// MaxConnections is the number of open connections of each listener for callers, nodes and the control channel, without those of
	// authenticated processes of the fleet; the other listeners have an eighth of it each. 0 means 10 per MiB of
	// instance/memory_mb, or 8192 if that is 0.
	MaxConnections int `json:"max_connections"`
	// MaxLines is the number of lines of the head of a request without continuation lines.
	MaxLines int `json:"max_lines"`
	// MaxFoldedLines is the number of continuation lines of the head of a request.
	MaxFoldedLines int `json:"max_folded_lines"`
	// MaxTrailerLines is the number of lines of the trailer of a request.
	MaxTrailerLines int `json:"max_trailer_lines"`
	// MaxNameBytes is the length in bytes of the name of a header field.
	MaxNameBytes int `json:"max_name_bytes"`
	// MaxValueBytes is the length in bytes of the value of a header field.
	MaxValueBytes int `json:"max_value_bytes"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	switch {
	case s.MaxHeldMB < 0 || s.MaxHeldMB > 1<<20:
		return settings.FieldErrorf("max_held_mb", "%v is outside 0..1048576", s.MaxHeldMB)
	case s.MaxConnections < 0 || s.MaxConnections > 1<<20:
		return settings.FieldErrorf("max_connections", "%d is outside 0..1048576", s.MaxConnections)
	}
	for name, n := range map[string]int{
		"max_lines": s.MaxLines, "max_folded_lines": s.MaxFoldedLines, "max_trailer_lines": s.MaxTrailerLines, "max_name_bytes": s.MaxNameBytes, "max_value_bytes": s.MaxValueBytes,
	} {
		if n < 1 || n > 1<<20 {
			return settings.FieldErrorf(name, "%d is outside 1..1048576", n)
		}
	}
	return nil
}
