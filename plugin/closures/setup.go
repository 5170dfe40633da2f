package closures

import "github.com/celeryyard/celeryyard/kernel"

func init() {
	kernel.Register(kernel.Registration{
		Name:  "closures",
		Needs: []string{"quorum"},
		New:   func(c *kernel.Context) (kernel.Plugin, error) { return newClosures(c), nil },
	})
}
