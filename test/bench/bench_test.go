// Package bench measures real processes on one machine:
// go test -run '^$' -bench . -benchtime 1x ./test/bench
package bench

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/plugin/load"
	"github.com/celeryyard/celeryyard/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

const (
	// rounds is how often both ways are measured in turn; figures are medians.
	rounds = 3
	// period is the time of each measurement.
	period = 5 * time.Second
)

// small returns a running fleet with two services and no service time.
func small(b *testing.B) *harness.Fleet {
	b.Helper()
	spec := layout.Spec{
		Zones: []layout.Zone{
			{Name: "cant-a", Region: "cantabrico", Controls: 1}, {Name: "cant-b", Region: "cantabrico", Controls: 1},
			{Name: "gorenjska-a", Region: "gorenjska", Controls: 1},
		},
		Services: []layout.Service{
			{Name: "catalogo", Organisation: "tacto-norte", Endpoints: 2, Slots: 64},
			{Name: "taller", Organisation: "tacto-norte", Endpoints: 2, Slots: 64},
		},
		Voters: 3, Seed: 1, LogLevel: "warn",
		Upstream: map[string]map[string]any{"standin": {"service_time": map[string]any{"distribution": "constant", "mean": "0s"}}},
	}
	f := harness.NewFleet(b, spec, false, 0)
	f.Start()
	f.Configure()
	for _, s := range spec.Services {
		for _, p := range f.Plan.Nodes {
			harness.Wait(b, 20*time.Second, p.Name+" answers calls to "+s.Name, func() bool { return harness.Answers(p.Callers, s.Host()) })
		}
	}
	return f
}

// run measures one way: directly at the stand-ins of catalogo, or through the
// nodes beside taller, so that each call takes two nodes.
func run(b *testing.B, f *harness.Fleet, direct bool, rate float64, depth, round int) load.Quantiles {
	b.Helper()
	var nodes []string
	for i, p := range f.Plan.Nodes {
		switch {
		case direct && p.Service == "catalogo":
			nodes = append(nodes, f.Plan.Upstreams[i].Settings["standin"].(map[string]any)["listen"].(string))
		case !direct && p.Service != "catalogo":
			nodes = append(nodes, p.Callers)
		}
	}
	name := fmt.Sprintf("bench-%g-%d-%d-%v", rate, depth, round, direct)
	r, code := f.Load(name, map[string]any{
		"nodes": nodes, "reports": f.Reports(), "rate": rate, "depth": depth, "direct": direct, "duration": period.String(),
		"max_failed_percent": 0, "settle": "50ms", "seed": round + 1, "mix": map[string]any{"get": 1, "post": 0, "keyed": 0},
		"organisations": []map[string]any{{"name": "tacto-norte", "host": f.Plan.Spec.Services[0].Host(), "path": "/", "weight": 1}},
	})
	if code != 0 {
		b.Fatalf("%s: exit code %d: %+v", name, code, r.Checks)
	}
	return r.Groups[0].FromSend
}

// BenchmarkAddedLatency reports what the way through two nodes adds to a call.
func BenchmarkAddedLatency(b *testing.B) {
	f := small(b)
	for _, rate := range []float64{100, 1000} {
		b.Run(fmt.Sprintf("rate=%g", rate), func(b *testing.B) {
			var direct, through [2][]float64
			for round := range rounds {
				for _, way := range []struct {
					direct bool
					to     *[2][]float64
				}{{true, &direct}, {false, &through}} {
					q := run(b, f, way.direct, rate, 0, round)
					way.to[0], way.to[1] = append(way.to[0], q.P50), append(way.to[1], q.P99)
				}
			}
			for i, name := range []string{"p50", "p99"} {
				b.ReportMetric(median(direct[i]), "direct-"+name+"-ms")
				b.ReportMetric(median(through[i]), "through-"+name+"-ms")
				b.ReportMetric(median(through[i])-median(direct[i]), "added-"+name+"-ms")
			}
		})
	}
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// BenchmarkNodeProcess reports what a node process uses, idle and under calls.
func BenchmarkNodeProcess(b *testing.B) {
	f := small(b)
	for _, rate := range []float64{0, 1000} {
		b.Run(fmt.Sprintf("calls=%g", rate), func(b *testing.B) {
			before := make([]time.Duration, len(f.Nodes))
			for i, p := range f.Nodes {
				before[i] = p.CPU()
			}
			started := time.Now()
			if rate > 0 {
				run(b, f, false, rate, 0, 0)
			} else {
				time.Sleep(2 * period)
			}
			seconds := time.Since(started).Seconds()
			var cpu, memory, files float64
			for i, p := range f.Nodes {
				cpu = max(cpu, (p.CPU() - before[i]).Seconds())
				memory, files = max(memory, p.MemoryMB()), max(files, float64(p.Files()))
			}
			b.ReportMetric(100*cpu/seconds, "%-of-a-core")
			b.ReportMetric(memory, "MB")
			b.ReportMetric(files, "files")
		})
	}
}
