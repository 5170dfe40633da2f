package lineage

import "github.com/celeryyard/celeryyard/kernel"

func init() {
	kernel.Register(kernel.Registration{
		Name: "lineage",
		New:  func(c *kernel.Context) (kernel.Plugin, error) { return newLineage(c), nil },
	})
}
