// Package kernel starts and stops plug-ins. It knows nothing of what they do.
//
// A plug-in registers itself from an init function. A program names the
// plug-ins that it runs; the kernel decodes one settings section for each,
// builds them in the order of their dependencies, starts them in that order
// and stops them in reverse.
package kernel

import (
	"context"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
)

// Plugin is one capability of a program.
type Plugin interface {
	// Start begins the work of the plug-in and returns. ctx ends when the kernel
	// stops. An error ends the program.
	Start(ctx context.Context) error
	// Stop ends the work gracefully and waits for it. ctx bounds the wait.
	Stop(ctx context.Context) error
}

// Drainer is implemented by plug-ins that prepare a planned stop. Drain is called
// once, before the drain time of the process begins; it must not block.
type Drainer interface{ Drain() }

// Reloader is implemented by plug-ins whose settings may change while they run.
// Reload gets a new, valid section of the type that Registration.Settings returns
// and takes over what can change; it must not block.
type Reloader interface{ Reload(settings any) }

// Registration describes a plug-in to the kernel.
type Registration struct {
	// Name is the name of the plug-in and of its settings section.
	Name string
	// Needs names plug-ins that must be part of the program; they are built and
	// started before this one and stopped after it.
	Needs []string
	// After names plug-ins that are built and started before this one when the
	// program has them.
	After []string
	// Settings returns a pointer to a new struct with the default settings; nil
	// when the plug-in has none.
	Settings func() any
	// Check looks at what lies outside the plug-in's section, such as files that the
	// settings name. It returns a settings.FieldError whose field starts with the
	// section, or nil. A nil Check finds nothing wrong.
	Check func(in *Instance, settings any) error
	// New builds the plug-in. It opens nothing and starts no goroutine.
	New func(c *Context) (Plugin, error)
}

// registry is written by init functions only and read-only afterwards, so it
// needs no lock.
var registry = map[string]Registration{}

// Register adds a plug-in. It is called from init functions and panics when
// the name is taken.
func Register(r Registration) {
	if _, ok := registry[r.Name]; ok {
		panic(fmt.Sprintf("plug-in %q is registered twice", r.Name))
	}
	registry[r.Name] = r
}

// Registered returns the names of all registered plug-ins in order.
func Registered() []string {
	names := make([]string, 0, len(registry))
	for n := range registry {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// DefaultSettings returns a new settings struct of a registered plug-in with its
// defaults, or nil when the plug-in has no settings.
func DefaultSettings(name string) any {
	if r := registry[name]; r.Settings != nil {
		return r.Settings()
	}
	return nil
}

// startOrder sorts the named plug-ins so that each stands after those that it
// needs. It fails on unknown and missing plug-ins and on cycles.
func startOrder(names []string) ([]Registration, error) {
	selected := map[string]bool{}
	for _, n := range names {
		if _, ok := registry[n]; !ok {
			return nil, errors.Newf("plug-in %q is not registered", n)
		}
		selected[n] = true
	}
	s := sorter{selected: selected, state: map[string]int{}}
	for _, n := range names {
		if err := s.visit(n); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

// sorter is a depth-first topological sort.
type sorter struct {
	selected map[string]bool
	state    map[string]int
	order    []Registration
}

const (
	visiting = 1
	visited  = 2
)

func (s *sorter) visit(name string) error {
	switch s.state[name] {
	case visiting:
		return errors.Newf("plug-in %q needs itself through others", name)
	case visited:
		return nil
	}
	s.state[name] = visiting
	r := registry[name]
	for _, n := range r.Needs {
		if !s.selected[n] {
			return errors.Newf("plug-in %q needs %q, which is not part of the program", name, n)
		}
		if err := s.visit(n); err != nil {
			return err
		}
	}
	for _, n := range r.After {
		if !s.selected[n] {
			continue
		}
		if err := s.visit(n); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.order = append(s.order, r)
	return nil
}
