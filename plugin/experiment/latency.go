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

func init() { register("added-latency", addedLatency) }

// addedTarget is the most that the system adds to a call at p99, in milliseconds.
const addedTarget = 0.46

// latencyRounds is how often the direct way and the way through two nodes are
// measured in turn; the figures are medians over the rounds.
const latencyRounds = 3

// addedLatency measures what the way through two nodes adds to a call, and to
// each call of a deep chain, against direct calls to the same stand-ins.
func addedLatency(e *env) error {
	f, err := newFleet(e, fleetOptions{
		nodes: 4, upstreams: true, services: []layout.Service{
			{Name: "catalogo", Organisation: "tacto-norte", Slots: 64}, {Name: "taller", Organisation: "tacto-norte", Slots: 64},
		},
		// Without a service time the figures hold nothing but the way.
		upstream: map[string]map[string]any{"standin": {"service_time": map[string]any{"distribution": "constant", "mean": "0s"}}},
	})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	if err := f.serving(); err != nil {
		return err
	}
	for _, rate := range e.s.Rates {
		if err := f.added(fmt.Sprintf("%g calls/s", rate), rate, 0); err != nil {
			return err
		}
	}
	return f.added(fmt.Sprintf("%d deep, 20 calls/s", e.s.Depth), 20, e.s.Depth)
}

// serving waits until calls to all services succeed through every node.
func (f *fleet) serving() error {
	for _, s := range f.plan.Spec.Services {
		for _, p := range f.plan.Nodes {
			err := f.e.until(readyLimit, fmt.Sprintf("%s answers calls to %s", p.Name, s.Name), func() bool {
				return f.callOnce(p.Callers, s.Host()) == nil
			})
			if err != nil {
				return errors.CombineErrors(err, f.callOnce(p.Callers, s.Host()))
			}
		}
	}
	return nil
}

// added measures direct calls and calls through nodes in turn.
func (f *fleet) added(kase string, rate float64, depth int) error {
	type figures struct{ p50, p99 []float64 }
	var direct, through figures
	samples := 0
	for round := range latencyRounds {
		for _, way := range []struct {
			name string
			to   *figures
		}{{"direct", &direct}, {"through", &through}} {
			q, n, err := f.latency(fmt.Sprintf("%s-%d", way.name, round), way.name == "direct", rate, depth)
			if err != nil {
				return errors.Wrapf(err, "%s, %s", kase, way.name)
			}
			way.to.p50, way.to.p99 = append(way.to.p50, q.P50), append(way.to.p99, q.P99)
			samples += n
		}
	}
	calls := float64(depth + 1)
	f.e.add(kase, "baseline direct", "p50", median(direct.p50), "ms", 0, samples/2)
	f.e.add(kase, "baseline direct", "p99", median(direct.p99), "ms", 0, samples/2)
	f.e.add(kase, "through two nodes", "p50", median(through.p50), "ms", 0, samples/2)
	f.e.add(kase, "through two nodes", "p99", median(through.p99), "ms", 0, samples/2)
	f.e.add(kase, "difference per call", "p50", (median(through.p50)-median(direct.p50))/calls, "ms", 0, samples)
	f.e.add(kase, "difference per call", "p99", (median(through.p99)-median(direct.p99))/calls, "ms", addedTarget, samples)
	return nil
}

// latency measures one way. The chain of a direct call goes from stand-in to
// stand-in.
func (f *fleet) latency(name string, direct bool, rate float64, depth int) (load.Quantiles, int, error) {
	catalogo := f.plan.Spec.Services[0]
	var nodes, reports []string
	for i, p := range f.plan.Nodes {
		switch {
		case direct && p.Service == catalogo.Name:
			nodes = append(nodes, f.standin(i))
		case !direct && p.Service != catalogo.Name:
			// The call enters at a node beside another service, so that it always
			// takes two nodes.
			nodes = append(nodes, p.Callers)
		}
		reports = append(reports, f.plan.Upstreams[i].Report)
	}
	section := map[string]any{
		"nodes": nodes, "reports": reports, "rate": rate, "depth": depth, "max_failed_percent": 0, "settle": "50ms",
		"direct":        direct,
		"organisations": []any{organisation("tacto-norte", catalogo.Host(), 1)},
		"mix":           map[string]any{"get": 1, "post": 0, "keyed": 0},
	}
	r, err := f.e.loadRun(name, section)
	if err == nil {
		err = failedChecks(r)
	}
	if err != nil {
		return load.Quantiles{}, 0, err
	}
	g := groupOf(r, "tacto-norte", load.KindGet)
	return g.FromSend, g.Succeeded, nil
}

// standin returns the address of the stand-in beside a node.
func (f *fleet) standin(i int) string {
	return f.plan.Upstreams[i].Settings["standin"].(map[string]any)["listen"].(string)
}

// callOnce makes one call through a node.
func (f *fleet) callOnce(node, host string) error {
	ctx, cancel := context.WithTimeout(f.e.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://"+host+"/", nil)
	if err != nil {
		return err
	}
	req.Close = true
	res, err := f.ops.client.Do(ctx, node, req)
	if err == nil && res.Status != http.StatusOK {
		return errStatus(res.Status, res.Body)
	}
	return err
}
