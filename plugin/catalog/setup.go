package catalog

import "github.com/celeryyard/celeryyard/kernel"

func init() {
	kernel.Register(kernel.Registration{
		Name:  "catalog",
		Needs: []string{"quorum"},
		After: []string{"trace"},
		New:   func(c *kernel.Context) (kernel.Plugin, error) { return newCatalog(c), nil },
	})
}
