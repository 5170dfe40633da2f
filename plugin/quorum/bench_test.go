package quorum_test

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

// quantileMicros sorts the durations and returns their quantile q in microseconds.
func quantileMicros(durations []time.Duration, q float64) float64 {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return float64(durations[int(q*float64(len(durations)-1))].Microseconds())
}

// BenchmarkCommit measures proposals of concurrent clients at the leader or at a
// follower, with three voters that sync to the disk.
func BenchmarkCommit(b *testing.B) {
	g := startVoters(b, "", "a", "b", "c")
	leader := g.waitLeader()
	follower := "a"
	if leader == "a" {
		follower = "b"
	}
	for _, at := range []struct{ what, name string }{{"leader", leader}, {"follower", follower}} {
		for _, clients := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("%s/clients=%d", at.what, clients), func(b *testing.B) {
				var mu sync.Mutex
				var all []time.Duration
				var next atomic.Int64
				var wg sync.WaitGroup
				for range clients {
					wg.Go(func() {
						var mine []time.Duration
						for next.Add(1) <= int64(b.N) {
							begin := time.Now()
							g.propose(at.name, "benchmark")
							mine = append(mine, time.Since(begin))
						}
						mu.Lock()
						defer mu.Unlock()
						all = append(all, mine...)
					})
				}
				wg.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(quantileMicros(all, 0.5), "p50-µs")
				b.ReportMetric(quantileMicros(all, 0.99), "p99-µs")
			})
		}
	}
}

// BenchmarkReplication measures the time from a proposal until all voters and a learner
// have applied it, without other load.
func BenchmarkReplication(b *testing.B) {
	g := startVoters(b, "", "a", "b", "c", "d")
	g.start("d", false)
	g.propose("d", "first")
	var all []time.Duration
	b.ResetTimer()
	for i := range b.N {
		begin := time.Now()
		text := fmt.Sprint("entry", i)
		g.propose("a", text)
		for _, n := range g.names {
			for !g.machines[n].lastTextIs(text) {
				time.Sleep(20 * time.Microsecond)
			}
		}
		all = append(all, time.Since(begin))
	}
	b.ReportMetric(quantileMicros(all, 0.5), "p50-µs")
	b.ReportMetric(quantileMicros(all, 0.99), "p99-µs")
}

func (m *testMachine) lastTextIs(text string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.texts) > 0 && m.texts[len(m.texts)-1] == text
}

// BenchmarkBarrier measures linearizable reads at a follower.
func BenchmarkBarrier(b *testing.B) {
	g := startVoters(b, "", "a", "b", "c")
	name := "a"
	if g.waitLeader() == "a" {
		name = "b"
	}
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := g.machines[name].barrier(10 * time.Second); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkIdle measures the network traffic of the leader of an idle group.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 16} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, string(rune('a'+i)))
			}
			g := startVoters(b, "", names...)
			for _, name := range names[3:] {
				g.start(name, false)
			}
			leader := g.waitLeader()
			kerneltest.WaitUntil(b, 30*time.Second, "all learners", func() bool { return len(g.machines[leader].log.Status().Learners) == n-3 })
			time.Sleep(2 * time.Second)
			const window = 5 * time.Second
			for range b.N {
				before := g.sentBytes(leader)
				time.Sleep(window)
				total := float64(g.sentBytes(leader)-before) / window.Seconds()
				b.ReportMetric(total, "leader-B/s")
				b.ReportMetric(total/float64(n-1), "leader-B/s/instance")
			}
		})
	}
}

func (g *group) sentBytes(name string) uint64 {
	sent, _ := g.machines[name].kernel.Plugin("peer").(*peer.Peer).Traffic()
	return sent
}
