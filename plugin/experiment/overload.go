package experiment

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
)

func init() { registerScenario("overload", measureOverload) }

// Parameters of the overload scenario.
const (
	// overloadEndpoints is the number of endpoints of the overloaded service.
	overloadEndpoints = 2
	// overloadSlots is the number of slots of each endpoint.
	overloadSlots       = 9
	overloadServiceTime = 20 * time.Millisecond
	// lightLoadFactor is the load that kranjc, the organisation with the light load, offers, in
	// multiples of overloadCallsPerSecond.
	lightLoadFactor = 0.1
)

// measureOverload offers a heavy load from the organisation tacto-norte and, at the same time, a light
// load from the organisation kranjc. It measures each heavy load first with direct calls and then with
// calls through nodes.
func measureOverload(e *env) error {
	f, err := newOverloadFleet(e, fleetOptions{})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	for _, loadFactor := range e.s.Overload {
		for _, direct := range []bool{true, false} {
			if err := f.measureLoad(loadFactor, direct); err != nil {
				return err
			}
		}
	}
	return nil
}

// overloadCallsPerSecond is the rate of calls that fills all slots of the overloaded service.
var overloadCallsPerSecond = overloadEndpoints * overloadSlots / overloadServiceTime.Seconds()

// newOverloadFleet starts a fleet in which both organisations call the service catalogo. All calls
// have the same service time.
func newOverloadFleet(e *env, o fleetOptions) (*fleet, error) {
	o.nodes, o.startUpstreams = 2*overloadEndpoints, true
	o.services = []layout.Service{
		{Name: "catalogo", Organisation: "tacto-norte", Slots: overloadSlots},
		{Name: "order-desk", Organisation: "kranjc", Slots: overloadSlots},
	}
	o.upstreamSettings = map[string]map[string]any{"standin": {
		"queue": overloadSlots, "service_time": map[string]any{"distribution": "constant", "mean": overloadServiceTime.String()},
	}}
	f, err := newFleet(e, o)
	if err != nil {
		return f, err
	}
	if err := f.createLightLoadTeam(); err != nil {
		return f, err
	}
	return f, f.waitServing()
}

// lightLoadHost is the host under which kranjc, the organisation with the light load, calls the
// service catalogo of tacto-norte, the organisation with the heavy load.
const lightLoadHost = "catalogo.kranjc.example"

// createLightLoadTeam creates a team of kranjc with a route from lightLoadHost to the service
// catalogo.
func (f *fleet) createLightLoadTeam() error {
	body := layout.Team(f.plan.Spec.Services[0], f.timeoutMillis, nil)
	body["name"], body["organisation"] = "kranjc-catalogo", "kranjc"
	body["parameters"].(map[string]any)["host"] = lightLoadHost
	if err := f.operator.put(f.e, "kranjc", "team", "kranjc-catalogo", body); err != nil {
		return err
	}
	return f.waitForVersion(f.operator.lastVersion, convergenceTimeout)
}

// measureLoad runs one load and reports its figures.
func (f *fleet) measureLoad(loadFactor float64, direct bool) error {
	r, err := f.offerLoad(loadFactor, direct)
	if err != nil {
		return err
	}
	variant := "through nodes"
	if direct {
		variant = "baseline direct"
	}
	f.reportOverload(fmt.Sprintf("%g times the slots", loadFactor), variant, r)
	return nil
}

// offerLoad runs one load and returns its result. The heavy load is loadFactor times
// overloadCallsPerSecond; if loadFactor is 0, only the light load runs. If direct is set, the calls go
// to the stand-ins and not through nodes.
func (f *fleet) offerLoad(loadFactor float64, direct bool) (*load.Result, error) {
	nodes := f.nodeAddresses("order-desk", func(i int) string { return f.plan.Nodes[i].CallersAddress })
	if direct {
		nodes = f.nodeAddresses("catalogo", f.standinAddress)
	}
	organisations := []any{organisationLoad("kranjc", lightLoadHost, lightLoadFactor)}
	if loadFactor > 0 {
		organisations = append(organisations, organisationLoad("tacto-norte", f.plan.Spec.Services[0].Host(), loadFactor))
	}
	r, err := f.e.runLoad(fmt.Sprintf("overload-%g-%v", loadFactor, direct), map[string]any{
		"nodes": nodes, "reports": f.nodeAddresses("", func(i int) string { return f.plan.Upstreams[i].ReportAddress }),
		"rate": (loadFactor + lightLoadFactor) * overloadCallsPerSecond, "organisations": organisations, "max_in_flight": 8192,
		"timeout": "1s", "mix": map[string]any{"get": 0, "post": 1, "keyed": 0},
	})
	if err == nil {
		err = checksError(r)
	}
	return r, errors.Wrapf(err, "%g times the slots, direct %v", loadFactor, direct)
}

func (f *fleet) reportOverload(caseName, variant string, r *load.Result) {
	light, heavy := findGroup(r, "kranjc", load.KindPost), findGroup(r, "tacto-norte", load.KindPost)
	seconds := r.Settings.Duration.AsDuration().Seconds()
	f.e.addFigure(caseName, variant, "other organisation p50", light.FromArrival.P50, "ms", 0, light.Calls)
	f.e.addFigure(caseName, variant, "other organisation p99", light.FromArrival.P99, "ms", 0, light.Calls)
	f.e.addFigure(caseName, variant, "other organisation failed", percent(light.Calls-light.Succeeded, light.Calls), "%", 0, light.Calls)
	f.e.addFigure(caseName, variant, "goodput of all slots", percent(light.Succeeded+heavy.Succeeded, int(overloadCallsPerSecond*seconds)), "%", 0, r.Calls)
	if heavy.Calls > 0 {
		f.e.addFigure(caseName, variant, "heavy organisation p99", heavy.FromArrival.P99, "ms", 0, heavy.Calls)
	}
	f.e.addFigure(caseName, variant, "failed as not-run", percent(r.FailedByVerdict["not-run"], r.Calls), "%", 0, r.Calls)
	f.e.addFigure(caseName, variant, "failed as may-have-run", percent(r.FailedByVerdict["may-have-run"], r.Calls), "%", 0, r.Calls)
}

// nodeAddresses calls addressOf with the index of each node beside an endpoint of the service, or of
// every node if service is empty, and returns the results.
func (f *fleet) nodeAddresses(service string, addressOf func(i int) string) []string {
	var list []string
	for i, p := range f.plan.Nodes {
		if service == "" || p.Service == service {
			list = append(list, addressOf(i))
		}
	}
	return list
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
