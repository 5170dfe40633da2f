package dataplane

import (
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// skipUnlessMeasuring skips a measurement unless CELERYYARD_MEASURE is set.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("CELERYYARD_MEASURE") == "" {
		t.Skip("set CELERYYARD_MEASURE=1 to measure")
	}
}

// latencyRecorder records latencies in microseconds. It is safe for concurrent use.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, 60_000_000, 3)}
}

func (r *latencyRecorder) record(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histogram.RecordValue(d.Microseconds())
}

func (r *latencyRecorder) percentile(p float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.histogram.ValueAtQuantile(p)) * time.Microsecond
}

// measureCall makes a call, checks that the answer has a body of 1 KiB, and returns the duration of
// the call.
func measureCall(t *testing.T, url string) time.Duration {
	r, _ := http.NewRequest("GET", url, nil)
	r.Host = "north"
	begin := time.Now()
	resp, err := testClient.Do(r)
	if err != nil {
		t.Error(err)
		return 0
	}
	if n, _ := io.Copy(io.Discard, resp.Body); n != 1024 || resp.StatusCode != 200 {
		t.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	_ = resp.Body.Close()
	return time.Since(begin)
}

// TestMeasureAddedLatency compares calls directly to the upstream with calls through two nodes,
// interleaved at 1,000 calls/s each.
func TestMeasureAddedLatency(t *testing.T) {
	skipUnlessMeasuring(t)
	f := newFleet(t, 64)
	f.withoutRelays = true
	body := strings.Repeat("p", 1024)
	callee := f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, body) }))
	caller := f.addNode("b", "z1", nil)
	urls := []string{callee.upstream.URL + "/", "http://" + caller.callersAddress + "/"}
	latencies := []*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()}
	var wg sync.WaitGroup
	sendCalls := func(calls int, record bool) {
		begin := time.Now()
		for i := range calls {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 500 * time.Microsecond)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				if d := measureCall(t, urls[i%2]); record {
					latencies[i%2].record(d)
				}
			}()
		}
		wg.Wait()
	}
	sendCalls(2000, false)
	sendCalls(40000, true)
	for _, q := range []float64{50, 90, 99, 99.9} {
		d, n := latencies[0].percentile(q), latencies[1].percentile(q)
		t.Logf("p%v: direct %v, through two nodes %v, added %v", q, d, n, n-d)
	}
	measureSequential := func(url string) (allocations uint64, cpu time.Duration) {
		var before, after runtime.MemStats
		var usageBefore, usageAfter syscall.Rusage
		runtime.GC()
		runtime.ReadMemStats(&before)
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usageBefore)
		for range 5000 {
			measureCall(t, url)
		}
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usageAfter)
		runtime.ReadMemStats(&after)
		cpuNanos := usageAfter.Utime.Nano() + usageAfter.Stime.Nano() - usageBefore.Utime.Nano() - usageBefore.Stime.Nano()
		return (after.Mallocs - before.Mallocs) / 5000, time.Duration(cpuNanos / 5000)
	}
	d, directCPU := measureSequential(urls[0])
	n, nodesCPU := measureSequential(urls[1])
	t.Logf("allocations per call: direct %d, through two nodes %d, added %d", d, n, n-d)
	t.Logf("CPU time per sequential call: direct %v, through two nodes %v, added %v", directCPU, nodesCPU, nodesCPU-directCPU)
}

// TestMeasureGoodput measures how many calls of each organisation succeed while one of them calls an
// upstream at a multiple of its capacity and the other one at a tenth of the capacity.
func TestMeasureGoodput(t *testing.T) {
	skipUnlessMeasuring(t)
	const slots, serviceTime = 9, 10 * time.Millisecond
	f := newFleet(t, slots)
	f.withoutRelays = true
	f.route.TimeoutMillis = 500
	f.addNode("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "ok")
	}))
	caller := f.addNode("b", "z1", nil)
	for _, factor := range []float64{0.5, 1, 2, 4} {
		var succeeded [2]atomic.Int64
		var sent [2]atomic.Int64
		latencies := []*latencyRecorder{newLatencyRecorder(), newLatencyRecorder()}
		const duration = 5 * time.Second
		capacity := float64(slots) / serviceTime.Seconds()
		var wg sync.WaitGroup
		sendAtRate := func(i int, org string, rate float64) {
			defer wg.Done()
			begin := time.Now()
			for k := 0; time.Since(begin) < duration; k++ {
				time.Sleep(time.Until(begin.Add(time.Duration(float64(k) / rate * float64(time.Second)))))
				wg.Add(1)
				go func() {
					defer wg.Done()
					sentAt := time.Now()
					got := caller.call("GET", org, "/", "")
					sent[i].Add(1)
					if got.err == nil && got.status == 200 {
						succeeded[i].Add(1)
						latencies[i].record(time.Since(sentAt))
					}
				}()
			}
		}
		wg.Add(2)
		go sendAtRate(0, "north", capacity*factor)
		go sendAtRate(1, "south", capacity*0.1)
		wg.Wait()
		t.Logf("load %.1fx of the capacity of %.0f calls/s: north %d of %d succeeded (%.0f/s), p99 %v; south %d of %d succeeded, p50 %v, p99 %v",
			factor, capacity, succeeded[0].Load(), sent[0].Load(), float64(succeeded[0].Load())/duration.Seconds(), latencies[0].percentile(99),
			succeeded[1].Load(), sent[1].Load(), latencies[1].percentile(50), latencies[1].percentile(99))
	}
}
