package journal

import (
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:     "journal",
		Settings: func() any { return &Settings{SegmentBytes: 8 << 20} },
		New:      func(c *kernel.Context) (kernel.Plugin, error) { return newJournal(c), nil },
	})
}

// Settings configures the plug-in.
type Settings struct {
	// SegmentBytes is the size in bytes after which the next segment is started.
	SegmentBytes int64 `json:"segment_bytes"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.SegmentBytes < 1<<10 || s.SegmentBytes > 1<<30 {
		return settings.FieldErrorf("segment_bytes", "%d is outside 1024..1073741824", s.SegmentBytes)
	}
	return nil
}
