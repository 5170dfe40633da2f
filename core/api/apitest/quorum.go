package apitest

import (
	"context"

	"github.com/celeryyard/celeryyard/kernel"
)

// Quorum is a plug-in "quorum" whose log is a MemoryLog.
type Quorum struct{ *MemoryLog }

// RegisterQuorum registers Quorum. It is called from init functions of tests
// whose programs do not have the replicated log.
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
