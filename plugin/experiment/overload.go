package experiment

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
)

func init() { register("overload", overload) }

// Sizes of the overload scenario.
const (
	overloadEndpoints = 2
	overloadSlots     = 9
	overloadService   = 20 * time.Millisecond
	// lightShare is what the other organisation asks for, as a share of all slots.
	lightShare = 0.1
)

// overload offers a multiple of what the slots can serve from one organisation,
// while the other one asks for little, directly and through nodes in turn.
func overload(e *env) error {
	f, err := overloadFleet(e, fleetOptions{})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	for _, times := range e.s.Overload {
		for _, direct := range []bool{true, false} {
			if err := f.overloaded(times, direct); err != nil {
				return err
			}
		}
	}
	return nil
}

// overloadCapacity is what the slots of the service serve, in calls a second.
var overloadCapacity = overloadEndpoints * overloadSlots / overloadService.Seconds()

// overloadFleet starts a service whose calls all take the same time, reached by
// both organisations.
func overloadFleet(e *env, o fleetOptions) (*fleet, error) {
	o.nodes, o.upstreams = 2*overloadEndpoints, true
	o.services = []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Slots: overloadSlots},
		{Name: "order-desk", Organisation: "kranjc", Slots: overloadSlots},
	}
	o.upstream = map[string]map[string]any{"standin": {
		"queue": overloadSlots, "service_time": map[string]any{"distribution": "constant", "mean": overloadService.String()},
	}}
	f, err := newFleet(e, o)
	if err != nil {
		return f, err
	}
	if err := f.lightTeam(); err != nil {
		return f, err
	}
	return f, f.serving()
}

// lightHost is the host at which Kranjc reaches the service of Tacto Norte.
const lightHost = "catalogo.kranjc.example"

// lightTeam gives Kranjc a route to the service catalogo.
func (f *fleet) lightTeam() error {
	body := layout.Team(f.plan.Spec.Services[0], f.timeouts, nil)
	body["name"], body["organisation"] = "kranjc-catalogo", "kranjc"
	body["parameters"].(map[string]any)["host"] = lightHost
	if err := f.ops.put(f.e, "kranjc", "team", "kranjc-catalogo", body); err != nil {
		return err
	}
	return f.converge(f.ops.version, convergeLimit)
}

// overloaded measures one load.
func (f *fleet) overloaded(times float64, direct bool) error {
	r, err := f.offer(times, direct)
	if err != nil {
		return err
	}
	variant := "through nodes"
	if direct {
		variant = "baseline direct"
	}
	f.reportOverload(fmt.Sprintf("%g times the slots", times), variant, r)
	return nil
}

// offer runs one load. The other organisation runs alone when times is 0.
func (f *fleet) offer(times float64, direct bool) (*load.Result, error) {
	nodes := f.addresses("order-desk", func(i int) string { return f.plan.Nodes[i].Callers })
	if direct {
		nodes = f.addresses("catalogo", f.standin)
	}
	sources := []any{organisation("kranjc", lightHost, lightShare)}
	if times > 0 {
		sources = append(sources, organisation("tacto-norte", f.plan.Spec.Services[0].Host(), times))
	}
	r, err := f.e.loadRun(fmt.Sprintf("overload-%g-%v", times, direct), map[string]any{
		"nodes": nodes, "reports": f.addresses("", func(i int) string { return f.plan.Upstreams[i].Report }),
		"rate": (times + lightShare) * overloadCapacity, "organisations": sources, "max_in_flight": 8192,
		"timeout": "1s", "mix": map[string]any{"get": 0, "post": 1, "keyed": 0},
	})
	if err == nil {
		err = failedChecks(r)
	}
	return r, errors.Wrapf(err, "%g times the slots, direct %v", times, direct)
}

func (f *fleet) reportOverload(kase, variant string, r *load.Result) {
	light, heavy := groupOf(r, "kranjc", load.KindPost), groupOf(r, "tacto-norte", load.KindPost)
	seconds := r.Settings.Duration.D().Seconds()
	f.e.add(kase, variant, "other organisation p50", light.FromArrival.P50, "ms", 0, light.Calls)
	f.e.add(kase, variant, "other organisation p99", light.FromArrival.P99, "ms", 0, light.Calls)
	f.e.add(kase, variant, "other organisation failed", percent(light.Calls-light.Succeeded, light.Calls), "%", 0, light.Calls)
	f.e.add(kase, variant, "goodput of all slots", percent(light.Succeeded+heavy.Succeeded, int(overloadCapacity*seconds)), "%", 0, r.Calls)
	if heavy.Calls > 0 {
		f.e.add(kase, variant, "heavy organisation p99", heavy.FromArrival.P99, "ms", 0, heavy.Calls)
	}
	f.e.add(kase, variant, "failed as not-run", percent(r.FailedByVerdict["not-run"], r.Calls), "%", 0, r.Calls)
	f.e.add(kase, variant, "failed as may-have-run", percent(r.FailedByVerdict["may-have-run"], r.Calls), "%", 0, r.Calls)
}

// addresses returns an address of each node of a service, or of all nodes.
func (f *fleet) addresses(service string, of func(i int) string) []string {
	var list []string
	for i, p := range f.plan.Nodes {
		if service == "" || p.Service == service {
			list = append(list, of(i))
		}
	}
	return list
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
