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
}

// RouteRun describes consecutive routes of the result. If Count is above 0, they are the Count routes
// of the base that start at index From; otherwise they are the routes in New.
type RouteRun struct {
	From  int               `json:"f,omitzero"`
	Count int               `json:"n,omitzero"`
	New   []ConfiguredRoute `json:"r,omitempty"`
}

// NewPatch returns the patch that changes base into next. Routes are not deep-copied.
func NewPatch(base, next *Configuration) *ConfigurationPatch {
	p := &ConfigurationPatch{Number: next.Number, Base: base.Number}
	baseIndex := make(map[string]int, len(base.Routes))
	for i := range base.Routes {
		baseIndex[base.Routes[i].matchKey()] = i
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if j, ok := baseIndex[r.matchKey()]; ok && reflect.DeepEqual(*r, base.Routes[j]) {
			p.appendKept(j)
		} else {
			p.appendNew(*r)
		}
	}
	if !slices.Equal(base.Services, next.Services) {
		p.Services = &next.Services
	}
	if base.Limits != next.Limits {
		p.Limits = &next.Limits
	}
	return p
}

func (p *ConfigurationPatch) appendKept(index int) {
	if n := len(p.Routes); n > 0 && p.Routes[n-1].Count > 0 && p.Routes[n-1].From+p.Routes[n-1].Count == index {
		p.Routes[n-1].Count++
		return
	}
	p.Routes = append(p.Routes, RouteRun{From: index, Count: 1})
}

func (p *ConfigurationPatch) appendNew(r ConfiguredRoute) {
	if n := len(p.Routes); n > 0 && p.Routes[n-1].Count == 0 {
		p.Routes[n-1].New = append(p.Routes[n-1].New, r)
		return
	}
	p.Routes = append(p.Routes, RouteRun{New: []ConfiguredRoute{r}})
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
}

// Apply applies the patch to base, which must be valid and is not modified. If there is no error,
// the resulting configuration is valid; the error is a FieldError. Unchanged routes are copied but
// not validated again unless the services change. Apart from copying the routes and comparing their
// match keys, the work is proportional to the number of routes that differ.
func (p *ConfigurationPatch) Apply(base *Configuration) (*PatchResult, error) {
	if base.Number != p.Base {
		return nil, fieldErrorf("base", "the patch is for configuration %d, not %d", p.Base, base.Number)
	}
	out := &Configuration{Number: p.Number, Base: p.Base, Services: base.Services, Limits: base.Limits}
	result := &PatchResult{Next: out, ServicesChanged: p.Services != nil}
	kept := make([]bool, len(base.Routes))
	out.Routes = make([]ConfiguredRoute, 0, len(base.Routes)+len(p.Routes))
	for i, run := range p.Routes {
		if run.From < 0 || run.Count < 0 || run.From > len(base.Routes) || run.Count > len(base.Routes)-run.From {
			return nil, fieldErrorf("routes", "run %d lies outside the %d routes of the base", i, len(base.Routes))
		}
		for j := run.From; j < run.From+run.Count; j++ {
			if kept[j] {
				return nil, fieldErrorf("routes", "run %d repeats route %d of the base", i, j)
			}
			kept[j] = true
		}
		out.Routes = append(out.Routes, base.Routes[run.From:run.From+run.Count]...)
		out.Routes = append(out.Routes, run.New...)
		result.Added = append(result.Added, run.New...)
		if len(out.Routes) > maxConfiguredRoutes {
			return nil, fieldErrorf("routes", "more than %d routes", maxConfiguredRoutes)
		}
	}
	for i, k := range kept {
		if !k {
			result.Removed = append(result.Removed, base.Routes[i])
		}
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
	return result, result.validateAdded(kept, base)
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
