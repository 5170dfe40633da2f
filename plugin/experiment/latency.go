package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
)

func init() { registerScenario("added-latency", measureAddedLatency) }

// addedLatencyTargetMillis is the maximum latency that the system may add to a call at p99.
const addedLatencyTargetMillis = 0.46

// latencyRounds is the number of rounds; each round measures the direct path and then the path
// through two nodes. The figures are medians over the rounds.
const latencyRounds = 3

// measureAddedLatency measures the latency that the path through two nodes adds to a call, and to
// each call of a deep chain, compared with direct calls to the same stand-ins.
func measureAddedLatency(e *env) error {
	f, err := newFleet(e, fleetOptions{
		nodes: 4, startUpstreams: true, services: []layout.Service{
			{Name: "catalogo", Organisation: "tacto-norte", Slots: 64}, {Name: "taller", Organisation: "tacto-norte", Slots: 64},
		},
		// Without a service time the figures contain only the time on the path.
		upstreamSettings: map[string]map[string]any{"standin": {"service_time": map[string]any{"distribution": "constant", "mean": "0s"}}},
	})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	if err := f.waitServing(); err != nil {
		return err
	}
	for _, rate := range e.s.Rates {
		if err := f.compareLatency(fmt.Sprintf("%g calls/s", rate), rate, 0); err != nil {
			return err
		}
	}
	return f.compareLatency(fmt.Sprintf("%d deep, 20 calls/s", e.s.Depth), 20, e.s.Depth)
}

// waitServing waits until calls to all services succeed through every node.
func (f *fleet) waitServing() error {
	for _, s := range f.plan.Spec.Services {
		for _, p := range f.plan.Nodes {
			err := f.e.waitUntil(readyTimeout, fmt.Sprintf("%s answers calls to %s", p.Name, s.Name), func() bool {
				return f.callOnce(p.CallersAddress, s.Host()) == nil
			})
			if err != nil {
				return errors.CombineErrors(err, f.callOnce(p.CallersAddress, s.Host()))
			}
		}
	}
	return nil
}

// compareLatency measures direct calls and calls through nodes in alternation, and reports both and
// their difference. Each call starts a chain of depth further calls.
func (f *fleet) compareLatency(caseName string, rate float64, depth int) error {
	type figures struct{ p50, p99 []float64 }
	var direct, through figures
	samples := 0
	for round := range latencyRounds {
		for _, path := range []struct {
			name string
			to   *figures
		}{{"direct", &direct}, {"through", &through}} {
			q, n, err := f.measureLatency(fmt.Sprintf("%s-%d", path.name, round), path.name == "direct", rate, depth)
			if err != nil {
				return errors.Wrapf(err, "%s, %s", caseName, path.name)
			}
			path.to.p50, path.to.p99 = append(path.to.p50, q.P50), append(path.to.p99, q.P99)
			samples += n
		}
	}
	calls := float64(depth + 1)
	f.e.addFigure(caseName, "baseline direct", "p50", median(direct.p50), "ms", 0, samples/2)
	f.e.addFigure(caseName, "baseline direct", "p99", median(direct.p99), "ms", 0, samples/2)
	f.e.addFigure(caseName, "through two nodes", "p50", median(through.p50), "ms", 0, samples/2)
	f.e.addFigure(caseName, "through two nodes", "p99", median(through.p99), "ms", 0, samples/2)
	f.e.addFigure(caseName, "difference per call", "p50", (median(through.p50)-median(direct.p50))/calls, "ms", 0, samples)
	f.e.addFigure(caseName, "difference per call", "p99", (median(through.p99)-median(direct.p99))/calls, "ms", addedLatencyTargetMillis, samples)
	return nil
}

// measureLatency measures one path. It returns the quantiles of the latency and the number of
// successful calls. If direct is set, all calls of a chain are direct.
func (f *fleet) measureLatency(name string, direct bool, rate float64, depth int) (load.Quantiles, int, error) {
	catalogo := f.plan.Spec.Services[0]
	var nodes, reports []string
	for i, p := range f.plan.Nodes {
		switch {
		case direct && p.Service == catalogo.Name:
			nodes = append(nodes, f.standinAddress(i))
		case !direct && p.Service != catalogo.Name:
			// Calls enter at nodes of a different service, so that each call passes two nodes.
			nodes = append(nodes, p.CallersAddress)
		}
		reports = append(reports, f.plan.Upstreams[i].ReportAddress)
	}
	section := map[string]any{
		"nodes": nodes, "reports": reports, "rate": rate, "depth": depth, "max_failed_percent": 0, "settle": "50ms",
		"direct":        direct,
		"organisations": []any{organisationLoad("tacto-norte", catalogo.Host(), 1)},
		"mix":           map[string]any{"get": 1, "post": 0, "keyed": 0},
	}
	r, err := f.e.runLoad(name, section)
	if err == nil {
		err = checksError(r)
	}
	if err != nil {
		return load.Quantiles{}, 0, err
	}
	g := findGroup(r, "tacto-norte", load.KindGet)
	return g.FromSend, g.Succeeded, nil
}

// standinAddress returns the address of the stand-in beside the node with index i.
func (f *fleet) standinAddress(i int) string {
	return f.plan.Upstreams[i].Settings["standin"].(map[string]any)["listen"].(string)
}

// callOnce makes one call to host through the node at address node.
func (f *fleet) callOnce(node, host string) error {
	ctx, cancel := context.WithTimeout(f.e.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://"+host+"/", nil)
	if err != nil {
		return err
	}
	req.Close = true
	res, err := f.operator.httpClient.Do(ctx, node, req)
	if err == nil && res.Status != http.StatusOK {
		return statusError(res.Status, res.Body)
	}
	return err
}
