// Package kernel manages the lifecycle of plug-ins, independently of what they do.
//
// A plug-in registers itself from an init function. A program lists the plug-ins that
// it runs; the kernel decodes one settings section for each, builds and starts them in
// the order of their dependencies, and stops them in reverse order.
package kernel

import (
	"context"
	"fmt"
	"sort"

	"github.com/cockroachdb/errors"
)

// Plugin is a component of a program that the kernel starts and stops.
type Plugin interface {
	// Start starts the plug-in and returns without waiting for its work to end. ctx is
	// canceled after all plug-ins have stopped. An error ends the program.
	Start(ctx context.Context) error
	// Stop stops the plug-in gracefully and waits until it has stopped or ctx ends.
	Stop(ctx context.Context) error
}

// Drainer is implemented by plug-ins that prepare for a planned stop. Drain is called
// once, before the drain time of the process begins; it must not block.
type Drainer interface{ Drain() }

// Reloader is implemented by plug-ins whose settings may change while they run.
// Reload receives a new, validated section of the type that Registration.Settings
// returns and applies the fields that can change at run time; it must not block.
type Reloader interface{ Reload(settings any) }

// Registration describes a plug-in.
type Registration struct {
	// Name is the name of the plug-in and of its settings section.
	Name string
	// Needs lists the names of plug-ins that must be part of the program; they are built
	// and started before this one and stopped after it.
	Needs []string
	// After lists the names of optional plug-ins: if the program has them, they are built
	// and started before this one.
	After []string
	// Settings returns a pointer to a new struct with the default settings; nil if the
	// plug-in has no settings.
	Settings func() any
	// CheckFiles verifies what the settings of the plug-in depend on outside their section, such as
	// the files that they name. Before the plug-ins are built, it is called with the section
	// "instance" and the section of the plug-in. An error is a settings.FieldError whose field
	// starts with the name of a section, so that it is reported with file and line. A nil
	// function means that there is nothing to verify.
	CheckFiles func(instance *Instance, settings any) error
	// New builds the plug-in. It opens no files or sockets and starts no goroutines.
	New func(c *Context) (Plugin, error)
}

// registry is written by init functions only and is read-only afterwards, so it needs
// no lock.
var registry = map[string]Registration{}

// Register adds a plug-in to the registry. It is called from init functions and panics if
// the name is already registered.
func Register(r Registration) {
	if _, ok := registry[r.Name]; ok {
		panic(fmt.Sprintf("plug-in %q is registered twice", r.Name))
	}
	registry[r.Name] = r
}

// RegisteredNames returns the names of all registered plug-ins in alphabetical order.
func RegisteredNames() []string {
	names := make([]string, 0, len(registry))
	for n := range registry {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// DefaultSettings returns a new settings struct of a registered plug-in with the default
// values, or nil if the plug-in has no settings.
func DefaultSettings(name string) any {
	if r := registry[name]; r.Settings != nil {
		return r.Settings()
	}
	return nil
}

// sortByDependencies sorts the named plug-ins so that each comes after those it depends
// on. Unknown or missing plug-ins and dependency cycles are errors.
func sortByDependencies(names []string) ([]Registration, error) {
	selected := map[string]bool{}
	for _, n := range names {
		if _, ok := registry[n]; !ok {
			return nil, errors.Newf("plug-in %q is not registered", n)
		}
		selected[n] = true
	}
	s := topoSorter{selected: selected, state: map[string]int{}}
	for _, n := range names {
		if err := s.visit(n); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

// topoSorter sorts plug-ins topologically by a depth-first search.
type topoSorter struct {
	selected map[string]bool
	// state maps names to visiting or visited; a plug-in without an entry was not visited yet.
	state map[string]int
	order []Registration
}

const (
	visiting = 1
	visited  = 2
)

func (s *topoSorter) visit(name string) error {
	switch s.state[name] {
	case visiting:
		return errors.Newf("plug-in %q is part of a dependency cycle", name)
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
