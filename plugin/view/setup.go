package view

import "github.com/celeryyard/celeryyard/kernel"

func init() {
	kernel.Register(kernel.Registration{
		Name: "view",
		New:  func(c *kernel.Context) (kernel.Plugin, error) { return newView(c), nil },
	})
}
