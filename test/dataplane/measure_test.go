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

// measuring skips tests whose result is a figure, not a pass, unless asked for.
func measuring(t *testing.T) {
	if os.Getenv("CELERYYARD_MEASURE") == "" {
		t.Skip("set CELERYYARD_MEASURE=1 to measure")
	}
}

type sampler struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newSampler() *sampler { return &sampler{h: hdrhistogram.New(1, 60_000_000, 3)} }

func (s *sampler) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.h.RecordValue(d.Microseconds())
}

func (s *sampler) at(q float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.h.ValueAtQuantile(q)) * time.Microsecond
}

// timedGet makes one call and returns its duration.
func timedGet(t *testing.T, url string) time.Duration {
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

// TestMeasureAddedLatency compares calls direct to the upstream with calls
// through two nodes, 1,000 a second each, interleaved in one run.
func TestMeasureAddedLatency(t *testing.T) {
	measuring(t)
	f := newFleet(t, 64)
	f.plain = true
	page := strings.Repeat("p", 1024)
	up := f.add("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, page) }))
	b := f.add("b", "z1", nil)
	urls := []string{up.upstream.URL + "/", "http://" + b.outbound + "/"}
	samples := []*sampler{newSampler(), newSampler()}
	var wg sync.WaitGroup
	run := func(calls int, keep bool) {
		begin := time.Now()
		for i := range calls {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * 500 * time.Microsecond)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				if d := timedGet(t, urls[i%2]); keep {
					samples[i%2].add(d)
				}
			}()
		}
		wg.Wait()
	}
	run(2000, false)
	run(40000, true)
	for _, q := range []float64{50, 90, 99, 99.9} {
		d, n := samples[0].at(q), samples[1].at(q)
		t.Logf("p%v direct %v, through two nodes %v, added %v", q, d, n, n-d)
	}
	sequential := func(url string) (allocations uint64, cpu time.Duration) {
		var before, after runtime.MemStats
		var from, to syscall.Rusage
		runtime.GC()
		runtime.ReadMemStats(&before)
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
		for range 5000 {
			timedGet(t, url)
		}
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
		runtime.ReadMemStats(&after)
		used := to.Utime.Nano() + to.Stime.Nano() - from.Utime.Nano() - from.Stime.Nano()
		return (after.Mallocs - before.Mallocs) / 5000, time.Duration(used / 5000)
	}
	d, dc := sequential(urls[0])
	n, nc := sequential(urls[1])
	t.Logf("allocations per call: direct %d, through two nodes %d, added %d", d, n, n-d)
	t.Logf("processor time per call, one after another: direct %v, through two nodes %v, added %v", dc, nc, nc-dc)
}

// TestMeasureGoodput floods one upstream with calls of one organisation at
// multiples of its capacity while the other one calls at a tenth of it.
func TestMeasureGoodput(t *testing.T) {
	measuring(t)
	const slots, work = 9, 10 * time.Millisecond
	f := newFleet(t, slots)
	f.plain = true
	f.route.TimeoutMillis = 500
	f.add("a", "z1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "ok")
	}))
	b := f.add("b", "z1", nil)
	for _, factor := range []float64{0.5, 1, 2, 4} {
		var good [2]atomic.Int64
		var sent [2]atomic.Int64
		lat := []*sampler{newSampler(), newSampler()}
		const span = 5 * time.Second
		capacity := float64(slots) / work.Seconds()
		var wg sync.WaitGroup
		drive := func(i int, org string, rate float64) {
			defer wg.Done()
			begin := time.Now()
			for k := 0; time.Since(begin) < span; k++ {
				time.Sleep(time.Until(begin.Add(time.Duration(float64(k) / rate * float64(time.Second)))))
				wg.Add(1)
				go func() {
					defer wg.Done()
					at := time.Now()
					got := b.call("GET", org, "/", "")
					sent[i].Add(1)
					if got.err == nil && got.status == 200 {
						good[i].Add(1)
						lat[i].add(time.Since(at))
					}
				}()
			}
		}
		wg.Add(2)
		go drive(0, "north", capacity*factor)
		go drive(1, "south", capacity*0.1)
		wg.Wait()
		t.Logf("flood %.1fx of %.0f calls/s: north %d of %d good (%.0f/s) p99 %v; south %d of %d good, p50 %v p99 %v",
			factor, capacity, good[0].Load(), sent[0].Load(), float64(good[0].Load())/span.Seconds(), lat[0].at(99),
			good[1].Load(), sent[1].Load(), lat[1].at(50), lat[1].at(99))
	}
}
