// Package bench measures the real programs, run as processes on one machine:
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
	// latencyRounds is the number of rounds; each round measures both paths. The reported figures are
	// medians over the rounds.
	latencyRounds = 3
	// measurementTime is the duration of each load run.
	measurementTime = 5 * time.Second
)

// newSmallFleet starts a fleet with two services whose stand-ins have no service time, and waits
// until every node answers calls to both.
func newSmallFleet(b *testing.B) *harness.Fleet {
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
		UpstreamSettings: map[string]map[string]any{"standin": {"service_time": map[string]any{"distribution": "constant", "mean": "0s"}}},
	}
	f := harness.NewFleet(b, spec, false, 0)
	f.Start()
	f.Configure()
	for _, s := range spec.Services {
		for _, p := range f.Plan.Nodes {
			harness.WaitUntil(b, 20*time.Second, p.Name+" answers calls to "+s.Name, func() bool { return harness.CallSucceeds(p.CallersAddress, s.Host()) })
		}
	}
	return f
}

// measureLatency measures calls to the service catalogo on one path. If direct is set, the calls go
// directly to its stand-ins. Otherwise they enter at the nodes of taller, so that each call passes
// two nodes.
func measureLatency(b *testing.B, f *harness.Fleet, direct bool, rate float64, depth, round int) load.Quantiles {
	b.Helper()
	var nodes []string
	for i, p := range f.Plan.Nodes {
		switch {
		case direct && p.Service == "catalogo":
			nodes = append(nodes, f.Plan.Upstreams[i].Settings["standin"].(map[string]any)["listen"].(string))
		case !direct && p.Service != "catalogo":
			nodes = append(nodes, p.CallersAddress)
		}
	}
	name := fmt.Sprintf("bench-%g-%d-%d-%v", rate, depth, round, direct)
	r, code := f.RunLoad(name, map[string]any{
		"nodes": nodes, "reports": f.ReportAddresses(), "rate": rate, "depth": depth, "direct": direct, "duration": measurementTime.String(),
		"max_failed_percent": 0, "settle": "50ms", "seed": round + 1, "mix": map[string]any{"get": 1, "post": 0, "keyed": 0},
		"organisations": []map[string]any{{"name": "tacto-norte", "host": f.Plan.Spec.Services[0].Host(), "path": "/", "weight": 1}},
	})
	if code != 0 {
		b.Fatalf("%s: exit code %d: %+v", name, code, r.Checks)
	}
	return r.Groups[0].FromSend
}

// BenchmarkAddedLatency reports the latency of direct calls, the latency of calls through two nodes,
// and the difference.
func BenchmarkAddedLatency(b *testing.B) {
	f := newSmallFleet(b)
	for _, rate := range []float64{100, 1000} {
		b.Run(fmt.Sprintf("rate=%g", rate), func(b *testing.B) {
			var direct, through [2][]float64
			for round := range latencyRounds {
				for _, path := range []struct {
					direct bool
					to     *[2][]float64
				}{{true, &direct}, {false, &through}} {
					q := measureLatency(b, f, path.direct, rate, 0, round)
					path.to[0], path.to[1] = append(path.to[0], q.P50), append(path.to[1], q.P99)
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

// median sorts v and returns its median. For an even number of values it returns the upper one of the
// two middle values.
func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}

// BenchmarkNodeProcess reports the processor time, memory and open files of node processes, idle and
// under load. Each figure is the maximum over all nodes.
func BenchmarkNodeProcess(b *testing.B) {
	f := newSmallFleet(b)
	for _, rate := range []float64{0, 1000} {
		b.Run(fmt.Sprintf("calls=%g", rate), func(b *testing.B) {
			before := make([]time.Duration, len(f.Nodes))
			for i, p := range f.Nodes {
				before[i] = p.CPUTime()
			}
			started := time.Now()
			if rate > 0 {
				measureLatency(b, f, false, rate, 0, 0)
			} else {
				time.Sleep(2 * measurementTime)
			}
			seconds := time.Since(started).Seconds()
			var cpu, memory, files float64
			for i, p := range f.Nodes {
				cpu = max(cpu, (p.CPUTime() - before[i]).Seconds())
				memory, files = max(memory, p.MemoryMB()), max(files, float64(p.OpenFiles()))
			}
			b.ReportMetric(100*cpu/seconds, "%-of-a-core")
			b.ReportMetric(memory, "MB")
			b.ReportMetric(files, "files")
		})
	}
}
