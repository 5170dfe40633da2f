package lint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/celeryyard/celeryyard/core/resource"
)

// checkRoutes checks each route by itself and against the routes of its host. A route that another one covers completely has
// the same host and prefix, since the longer prefix decides otherwise; that is an error, which Problems reports.
func (k *checker) checkRoutes() {
	byMatch, names := make(map[string]int, len(k.c.Routes)), make(map[string]int, len(k.c.Routes))
	for i := range k.c.Routes {
		byMatch[matchName(&k.c.Routes[i])] = i
	}
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		field := fmt.Sprintf("routes/%d", i)
		if first, taken := names[r.Name]; taken && r.Name != "" {
			k.warnf(RuleRouteName, field+"/name", "routes/%d has the same name; logs and traces cannot tell them apart", first)
		} else {
			names[r.Name] = i
		}
		if strings.ContainsAny(r.Host, " \t/\\*?#@") {
			k.warnf(RuleHost, field+"/host", "%q is compared literally, and no request has such a host", r.Host)
		}
		if !strings.HasSuffix(r.PathPrefix, "/") {
			if other, ok := byMatch[matchName(r)+"/"]; ok {
				k.warnf(RuleOnePath, field+"/path_prefix", "routes/%d matches all paths below %q, so that only this path itself is left", other, r.PathPrefix)
			}
		}
		k.checkSplit(field, r)
		k.checkTimes(field, r)
		if r.Anonymous != nil && *r.Anonymous && len(k.c.Callers) == 0 {
			k.warnf(RuleAnonymous, field+"/anonymous", "without calling teams no route requires a key")
		}
	}
}

func (k *checker) checkSplit(field string, r *resource.ConfiguredRoute) {
	seen := map[string]bool{}
	for i, p := range r.Split {
		part := fmt.Sprintf("%s/split/%d", field, i)
		if p.Weight == 0 {
			k.warnf(RuleZeroWeight, part+"/weight", "service %q gets no request of this route", p.Service)
		}
		if seen[p.Service] {
			k.warnf(RuleSplitTwice, part+"/service", "service %q is listed twice; its weights add up", p.Service)
		}
		seen[p.Service] = true
	}
}

func (k *checker) checkTimes(field string, r *resource.ConfiguredRoute) {
	if r.TargetMillis > r.TimeoutMillis {
		k.warnf(RuleTarget, field+"/target_ms", "a call ends at the timeout of %d ms, before it could miss its target of %d ms", r.TimeoutMillis, r.TargetMillis)
	}
	if !r.Idempotent && r.MaxAttempts > 1 {
		k.warnf(RuleAttempts, field+"/max_attempts", "the route is not idempotent: of %d attempts, only those after one that certainly did not run are made", r.MaxAttempts)
	}
	if r.MaxAttempts > resource.MaxAttempts {
		k.warnf(RuleManyAttempts, field+"/max_attempts", "%d is above %d, the limit for routes of templates; under overload each attempt adds load", r.MaxAttempts, resource.MaxAttempts)
	}
}

// routeServices calls f for each service that gets requests of a route.
func routeServices(r *resource.ConfiguredRoute, f func(service string)) {
	if r.Service != "" {
		f(r.Service)
	}
	for _, p := range r.Split {
		if p.Weight > 0 {
			f(p.Service)
		}
	}
}

// checkPriorities reports routes that are more urgent than another route of a service, although they may take longer by both
// their target and their timeout: under overload, the calls with less time would wait for those with more.
func (k *checker) checkPriorities() {
	byService := map[string][]int{}
	for i := range k.c.Routes {
		if r := &k.c.Routes[i]; r.TargetMillis > 0 {
			routeServices(r, func(s string) { byService[s] = append(byService[s], i) })
		}
	}
	// inverted maps a route to the less urgent route of a service with the shortest target.
	inverted := map[int]int{}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b int) int {
			return cmp.Or(cmp.Compare(k.c.Routes[b].Priority, k.c.Routes[a].Priority), cmp.Compare(a, b))
		})
		tightest := -1 // of the routes with a higher number
		for from := 0; from < len(list); {
			to := from
			for to < len(list) && k.c.Routes[list[to]].Priority == k.c.Routes[list[from]].Priority {
				k.noteInversion(inverted, list[to], tightest)
				to++
			}
			for _, i := range list[from:to] {
				if tightest < 0 || k.c.Routes[i].TargetMillis < k.c.Routes[tightest].TargetMillis {
					tightest = i
				}
			}
			from = to
		}
	}
	for i := range k.c.Routes {
		if o, ok := inverted[i]; ok {
			urgent, other := &k.c.Routes[i], &k.c.Routes[o]
			k.warnf(RulePriority, fmt.Sprintf("routes/%d/priority", i), "with priority %d and a target of %d ms it goes before routes/%d with priority %d and a target of %d ms",
				urgent.Priority, urgent.TargetMillis, o, other.Priority, other.TargetMillis)
		}
	}
}

func (k *checker) noteInversion(inverted map[int]int, urgent, other int) {
	if other < 0 {
		return
	}
	u, o := &k.c.Routes[urgent], &k.c.Routes[other]
	if u.TargetMillis <= o.TargetMillis || u.TimeoutMillis <= o.TimeoutMillis {
		return
	}
	if noted, ok := inverted[urgent]; !ok || other < noted {
		inverted[urgent] = other // a route of several services is reported once, whatever the order of the services
	}
}

func (k *checker) checkServices() {
	used := map[string]bool{}
	for i := range k.c.Routes {
		routeServices(&k.c.Routes[i], func(s string) { used[s] = true })
	}
	for i := range k.c.Services {
		if name := k.c.Services[i].Name; !used[name] {
			k.warnf(RuleUnusedSvc, fmt.Sprintf("services/%d", i), "no route sends requests to service %q", name)
		}
	}
}

// matchName identifies the requests that a route matches, as operators know it: host and path prefix.
func matchName(r *resource.ConfiguredRoute) string { return strings.ToLower(r.Host) + r.PathPrefix }
