package resource

import (
	"fmt"
	"reflect"
	"slices"
)

// ConfigurationPatch turns one configuration into the next one. It carries only
// what differs, since a change of a few routes out of hundreds is the usual case
// and every copy of it crosses availability zones.
type ConfigurationPatch struct {
	Number uint64 `json:"number"`
	// Base is the number of the configuration that the patch applies to.
	Base uint64 `json:"base"`
	// Routes lists the routes of the result in order.
	Routes []RouteRun `json:"routes,omitempty"`
	// Services and Limits are absent when they stay as they are.
	Services *[]ConfiguredService `json:"services,omitempty"`
	Limits   *CallerLimits        `json:"limits,omitempty"`
}

// RouteRun is a run of routes: Count routes of the base from index From on, or New.
type RouteRun struct {
	From  int               `json:"f,omitzero"`
	Count int               `json:"n,omitzero"`
	New   []ConfiguredRoute `json:"r,omitempty"`
}

// PatchOf returns the patch from base to next. Routes are not copied.
func PatchOf(base, next *Configuration) *ConfigurationPatch {
	p := &ConfigurationPatch{Number: next.Number, Base: base.Number}
	at := make(map[string]int, len(base.Routes))
	for i := range base.Routes {
		at[base.Routes[i].place()] = i
	}
	for i := range next.Routes {
		r := &next.Routes[i]
		if j, ok := at[r.place()]; ok && reflect.DeepEqual(*r, base.Routes[j]) {
			p.keep(j)
		} else {
			p.add(*r)
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

func (p *ConfigurationPatch) keep(index int) {
	if n := len(p.Routes); n > 0 && p.Routes[n-1].Count > 0 && p.Routes[n-1].From+p.Routes[n-1].Count == index {
		p.Routes[n-1].Count++
		return
	}
	p.Routes = append(p.Routes, RouteRun{From: index, Count: 1})
}

func (p *ConfigurationPatch) add(r ConfiguredRoute) {
	if n := len(p.Routes); n > 0 && p.Routes[n-1].Count == 0 {
		p.Routes[n-1].New = append(p.Routes[n-1].New, r)
		return
	}
	p.Routes = append(p.Routes, RouteRun{New: []ConfiguredRoute{r}})
}

// Step is what a patch makes of a configuration.
type Step struct {
	Next *Configuration
	// Added and Removed are the routes that differ. A route that changes is in both.
	Added, Removed []ConfiguredRoute
	// Services tells that services differ, so that all routes may be concerned.
	Services bool
}

// Apply returns what the patch makes of base, which is valid and stays unchanged. The
// result is valid; the error is a FieldError. The work follows from the number of
// routes that differ, but for copying the others.
func (p *ConfigurationPatch) Apply(base *Configuration) (*Step, error) {
	if base.Number != p.Base {
		return nil, invalid("base", "the patch is for configuration %d, not %d", p.Base, base.Number)
	}
	out := &Configuration{Number: p.Number, Base: p.Base, Services: base.Services, Limits: base.Limits}
	step := &Step{Next: out, Services: p.Services != nil}
	kept := make([]bool, len(base.Routes))
	out.Routes = make([]ConfiguredRoute, 0, len(base.Routes)+len(p.Routes))
	for i, run := range p.Routes {
		if run.From < 0 || run.Count < 0 || run.From > len(base.Routes) || run.Count > len(base.Routes)-run.From {
			return nil, invalid("routes", "run %d lies outside the %d routes of the base", i, len(base.Routes))
		}
		for j := run.From; j < run.From+run.Count; j++ {
			if kept[j] {
				return nil, invalid("routes", "run %d repeats route %d of the base", i, j)
			}
			kept[j] = true
		}
		out.Routes = append(out.Routes, base.Routes[run.From:run.From+run.Count]...)
		out.Routes = append(out.Routes, run.New...)
		step.Added = append(step.Added, run.New...)
		if len(out.Routes) > maxConfiguredRoutes {
			return nil, invalid("routes", "more than %d routes", maxConfiguredRoutes)
		}
	}
	for i, k := range kept {
		if !k {
			step.Removed = append(step.Removed, base.Routes[i])
		}
	}
	if p.Services != nil {
		out.Services = *p.Services
	}
	if p.Limits != nil {
		out.Limits = *p.Limits
	}
	if step.Services {
		return step, out.Validate()
	}
	return step, step.validate(kept, base)
}

// validate checks the added routes. The others are valid, since base is and has the
// same services.
func (s *Step) validate(kept []bool, base *Configuration) error {
	c := s.Next
	if c.Number <= c.Base {
		return invalid("number", "%d is not above the base %d", c.Number, c.Base)
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
		if added[r.place()] {
			return errPlace(fmt.Sprintf("added/%d", i), r)
		}
		added[r.place()] = true
	}
	for i := range base.Routes {
		if kept[i] && added[base.Routes[i].place()] {
			return errPlace(fmt.Sprintf("routes/%d", i), &base.Routes[i])
		}
	}
	return nil
}

// maxConfiguredRoutes bounds the result of a patch, whose runs may repeat routes.
const maxConfiguredRoutes = 100_000

// DecodePatch decodes a patch. The error is a FieldError.
func DecodePatch(body []byte) (*ConfigurationPatch, error) {
	p := &ConfigurationPatch{}
	return p, DecodeLimit(body, MaxConfigurationBytes, p)
}
