package apitest

import (
	"context"

	"github.com/celeryyard/celeryyard/kernel"
)

// Quorum is a fake of the plug-in "quorum" that uses a MemoryLog.
type Quorum struct{ *MemoryLog }

// RegisterQuorum registers Quorum as the plug-in "quorum". It is called from init functions
// of tests that do not import the real plug-in.
func RegisterQuorum() {
	kernel.Register(kernel.Registration{
		Name: "quorum",
		New:  func(*kernel.Context) (kernel.Plugin, error) { return &Quorum{NewMemoryLog()}, nil },
	})
}

// Start implements kernel.Plugin.
func (*Quorum) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (q *Quorum) Stop(context.Context) error {
	q.Close()
	return nil
}
