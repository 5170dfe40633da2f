package resource

import (
	"fmt"
	"reflect"
	"slices"
)

// ConfigurationPatch changes one configuration into the next one. It holds only the differences,
// because usually a few routes out of hundreds change, and each copy of the patch is sent across
// availability zones.
type ConfigurationPatch struct {
	Number uint64 `json:"number"`
	// Base is the number of the configuration that the patch applies to.
	Base uint64 `json:"base"`
	// Routes describes the routes of the result in order.
	Routes []RouteRun `json:"routes,omitempty"`
	// Services and Limits replace those of the base; nil if they are unchanged.
	Services *[]ConfiguredService `json:"services,omitempty"`
	Limits   *CallerLimits        `json:"limits,omitempty"`
	// Callers describes the calling teams of the result; nil if they are unchanged.
	Callers *CallersPatch `json:"callers,omitempty"`
}

// CallersPatch describes the calling teams of the result.
type CallersPatch struct {
	// Absent means that the result has no list of teams, which is read back differently from an empty list.
	Absent bool `json:"absent,omitzero"`
	// Runs describes the teams in order.
	Runs []Run[CallerTeam] `json:"runs,omitempty"`
}

// Run describes consecutive items of the result. If Count is above 0, they are the Count items
// of the base that start at index From; otherwise they are the items in New.
type Run[T any] struct {
	From  int `json:"f,omitzero"`
	Count int `json:"n,omitzero"`
	New   []T `json:"r,omitempty"`
}

// RouteRun describes consecutive routes.
type RouteRun = Run[ConfiguredRoute]

// NewPatch returns the patch that changes base into next. Routes and teams are not deep-copied.
func NewPatch(base, next *Configuration) *ConfigurationPatch {
	p := &ConfigurationPatch{Number: next.Number, Base: base.Number}
	p.Routes = newRuns(base.Routes, next.Routes, (*ConfiguredRoute).matchKey)
	if !slices.Equal(base.Services, next.Services) {
		p.Services = &next.Services
	}
	if base.Limits != next.Limits {
		p.Limits = &next.Limits
	}
	if !reflect.DeepEqual(base.Callers, next.Callers) {
		p.Callers = &CallersPatch{
			Absent: next.Callers == nil, Runs: newRuns(base.Callers, next.Callers, func(t *CallerTeam) string { return t.Name }),
		}
	}
	return p
}

// newRuns returns the runs that change base into next. key identifies an item within each list.
func newRuns[T any](base, next []T, key func(*T) string) []Run[T] {
	baseIndex := make(map[string]int, len(base))
	for i := range base {
		baseIndex[key(&base[i])] = i
	}
	var runs []Run[T]
	for i := range next {
		last := len(runs) - 1
		j, ok := baseIndex[key(&next[i])]
		switch {
		case !ok || !reflect.DeepEqual(next[i], base[j]):
			if last < 0 || runs[last].Count > 0 {
				runs = append(runs, Run[T]{})
				last++
			}
			runs[last].New = append(runs[last].New, next[i])
		case last >= 0 && runs[last].Count > 0 && runs[last].From+runs[last].Count == j:
			runs[last].Count++
		default:
			runs = append(runs, Run[T]{From: j, Count: 1})
		}
	}
	return runs
}

// runsResult is the result of applyRuns.
type runsResult[T any] struct {
	items, added []T
	kept         []bool // by index in the base
}

// applyRuns returns the items that the runs describe, at most maxItems. The error is a FieldError.
func applyRuns[T any](field string, base []T, runs []Run[T], maxItems int) (*runsResult[T], error) {
	out := &runsResult[T]{items: make([]T, 0, len(base)+len(runs)), kept: make([]bool, len(base))}
	for i, run := range runs {
		if run.From < 0 || run.Count < 0 || run.From > len(base) || run.Count > len(base)-run.From {
			return nil, fieldErrorf(field, "run %d lies outside the %d %s of the base", i, len(base), field)
		}
		for j := run.From; j < run.From+run.Count; j++ {
			if out.kept[j] {
				return nil, fieldErrorf(field, "run %d repeats item %d of the base", i, j)
			}
			out.kept[j] = true
		}
		out.items = append(out.items, base[run.From:run.From+run.Count]...)
		out.items = append(out.items, run.New...)
		out.added = append(out.added, run.New...)
		if len(out.items) > maxItems {
			return nil, fieldErrorf(field, "more than %d %s", maxItems, field)
		}
	}
	return out, nil
}

// PatchResult is the result of applying a patch.
type PatchResult struct {
	// Next is the configuration that results from the patch.
	Next *Configuration
	// Added and Removed hold the routes that differ. A changed route is in both: in Removed as it was
	// in the base, in Added as it is in Next.
	Added, Removed []ConfiguredRoute
	// ServicesChanged is set if the patch replaces the services, which may affect any route.
	ServicesChanged bool
	// CallersChanged is set if the patch changes the calling teams.
	CallersChanged bool
}

// Apply applies the patch to base, which must be valid and is not modified. If there is no error,
// the resulting configuration is valid; the error is a FieldError. Unchanged routes are copied but
// not validated again unless the services change. Apart from copying the routes and comparing their
// match keys, the work is proportional to the number of routes that differ.
func (p *ConfigurationPatch) Apply(base *Configuration) (*PatchResult, error) {
	if base.Number != p.Base {
		return nil, fieldErrorf("base", "the patch is for configuration %d, not %d", p.Base, base.Number)
	}
	routes, err := applyRuns("routes", base.Routes, p.Routes, maxConfiguredRoutes)
	if err != nil {
		return nil, err
	}
	out := &Configuration{
		Number: p.Number, Base: p.Base, Routes: routes.items, Services: base.Services, Limits: base.Limits, Callers: base.Callers,
	}
	result := &PatchResult{Next: out, Added: routes.added, ServicesChanged: p.Services != nil}
	for i, k := range routes.kept {
		if !k {
			result.Removed = append(result.Removed, base.Routes[i])
		}
	}
	if err := p.applyCallers(result, base); err != nil {
		return nil, err
	}
	if p.Services != nil {
		out.Services = *p.Services
	}
	if p.Limits != nil {
		out.Limits = *p.Limits
	}
	if result.ServicesChanged {
		return result, out.Validate()
	}
	return result, result.validateAdded(routes.kept, base)
}

// applyCallers sets the calling teams of the result and validates them.
func (p *ConfigurationPatch) applyCallers(result *PatchResult, base *Configuration) error {
	if p.Callers == nil {
		return nil
	}
	result.CallersChanged = true
	if p.Callers.Absent {
		result.Next.Callers = nil
		return nil
	}
	callers, err := applyRuns("callers", base.Callers, p.Callers.Runs, MaxCallerTeams)
	if err != nil {
		return err
	}
	result.Next.Callers = callers.items
	return validateCallers(callers.items)
}

// validateAdded checks the added routes. The kept routes are valid because base is valid
// and has the same services.
func (s *PatchResult) validateAdded(kept []bool, base *Configuration) error {
	c := s.Next
	if c.Number <= c.Base {
		return fieldErrorf("number", "%d is not above the base %d", c.Number, c.Base)
	}
	if len(s.Added) == 0 {
		return nil
	}
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	added := make(map[string]bool, len(s.Added))
	for i := range s.Added {
		r := &s.Added[i]
		if err := r.validate(fmt.Sprintf("added/%d", i), services); err != nil {
			return err
		}
		if added[r.matchKey()] {
			return duplicateMatchError(fmt.Sprintf("added/%d", i), r)
		}
		added[r.matchKey()] = true
	}
	for i := range base.Routes {
		if kept[i] && added[base.Routes[i].matchKey()] {
			return duplicateMatchError(fmt.Sprintf("routes/%d", i), &base.Routes[i])
		}
	}
	return nil
}

// maxConfiguredRoutes is the maximum number of routes in the result of a patch; Apply refuses a patch
// with more. Apply checks the number after each run, because duplicates among the new routes are
// detected only after the last run.
const maxConfiguredRoutes = 100_000

// DecodePatch decodes a patch. The error is a FieldError.
func DecodePatch(body []byte) (*ConfigurationPatch, error) {
	p := &ConfigurationPatch{}
	return p, DecodeWithLimit(body, MaxConfigurationBytes, p)
}
