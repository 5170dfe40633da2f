package pool

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against jobs of a key that run out of order or concurrently, and against
// accepted jobs that are lost when the pool stops.
func TestKeyedOrderAndNoLossOnStop(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = 50
	props := gopter.NewProperties(params)
	props.Property("jobs of a key run in order and all run", prop.ForAll(func(keys []int, workers int) bool {
		p := New(Options{Workers: workers, Queue: NewKeyedFIFO(8)})
		var mu sync.Mutex
		ran := map[int][]int{}
		want := map[int][]int{}
		for i, k := range keys {
			want[k] = append(want[k], i)
			job := &Job{Key: fmt.Sprint(k), Run: func() {
				mu.Lock()
				defer mu.Unlock()
				ran[k] = append(ran[k], i)
			}}
			if err := p.Submit(context.Background(), job); err != nil {
				return false
			}
		}
		if err := p.Stop(context.Background()); err != nil {
			return false
		}
		return fmt.Sprint(ran) == fmt.Sprint(want)
	}, gen.SliceOf(gen.IntRange(0, 4)), gen.IntRange(1, 6)))
	props.TestingRun(t)
}

// Guards against a queue that grows without bound.
func TestFullQueueRejectsJobs(t *testing.T) {
	block := make(chan struct{})
	p := New(Options{Workers: 1, Queue: NewKeyedFIFO(1)})
	started := make(chan struct{})
	must(t, p.TrySubmit(&Job{Run: func() { close(started); <-block }}))
	<-started
	must(t, p.TrySubmit(&Job{Run: func() {}}))
	if err := p.TrySubmit(&Job{Run: func() {}}); !errors.Is(err, ErrFull) {
		t.Fatalf("third job: %v, want ErrFull", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := p.Submit(ctx, &Job{Run: func() {}}); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("submit to a full queue: %v, want deadline exceeded", err)
	}
	close(block)
	must(t, p.Stop(context.Background()))
}

// Guards against a TryRun that runs more jobs at once than the pool has workers, loses jobs,
// or runs jobs for which Stop does not wait.
func TestTryRunNeverExceedsWorkers(t *testing.T) {
	const workers, submitters, jobsPerSubmitter = 3, 12, 200
	p := New(Options{Workers: workers, Queue: NewKeyedFIFO(submitters)})
	var mu sync.Mutex
	running, maxRunning, ended, ranInline := 0, 0, 0, 0
	job := func() {
		mu.Lock()
		running++
		maxRunning = max(maxRunning, running)
		mu.Unlock()
		time.Sleep(50 * time.Microsecond)
		mu.Lock()
		running--
		ended++
		mu.Unlock()
	}
	accepted := 0
	var wg sync.WaitGroup
	for range submitters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range jobsPerSubmitter {
				done := make(chan struct{})
				ran, err := p.TryRun(&Job{Run: func() { job(); close(done) }})
				if errors.Is(err, ErrFull) {
					continue
				}
				if err != nil {
					t.Error(err)
				}
				<-done
				mu.Lock()
				if ran {
					ranInline++
				}
				mu.Unlock()
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	must(t, p.Stop(context.Background()))
	if maxRunning > workers || ended != accepted || ranInline == 0 {
		t.Fatalf("at most %d jobs ran at once with %d workers; %d accepted, %d ended, %d by submitters", maxRunning, workers, accepted, ended, ranInline)
	}
	if _, err := p.TryRun(&Job{Run: func() { t.Error("ran after the stop") }}); !errors.Is(err, ErrClosed) {
		t.Fatalf("after the stop: %v", err)
	}
}

// Guards against a panic that ends a worker or goes unreported.
func TestPanicIsReportedAndWorkerContinues(t *testing.T) {
	got := make(chan any, 1)
	p := New(Options{Workers: 1, OnPanic: func(v any, _ []byte) { got <- v }})
	must(t, p.TrySubmit(&Job{Key: "a", Run: func() { panic("boom") }}))
	done := make(chan struct{})
	must(t, p.TrySubmit(&Job{Key: "a", Run: func() { close(done) }}))
	if v := <-got; v != "boom" {
		t.Fatalf("reported %v, want boom", v)
	}
	<-done
	must(t, p.Stop(context.Background()))
}

// Guards against starting a job whose deadline has passed.
func TestExpiredJobIsAbandoned(t *testing.T) {
	p := New(Options{Workers: 1})
	abandoned := make(chan error, 1)
	must(t, p.TrySubmit(&Job{
		Deadline: time.Now().Add(-time.Second),
		Run:      func() { t.Error("expired job ran") },
		Abandon:  func(err error) { abandoned <- err },
	}))
	if err := <-abandoned; !errors.Is(err, ErrExpired) {
		t.Fatalf("abandoned with %v, want ErrExpired", err)
	}
	must(t, p.Stop(context.Background()))
}

// Guards against queued jobs that are neither run nor abandoned when Stop times out.
func TestStopAbandonsQueuedJobsAtDeadline(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	p := New(Options{Workers: 1})
	started := make(chan struct{})
	must(t, p.TrySubmit(&Job{Run: func() { close(started); <-block }}))
	<-started
	abandoned := make(chan error, 1)
	must(t, p.TrySubmit(&Job{Run: func() {}, Abandon: func(err error) { abandoned <- err }}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := p.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("stop: %v, want deadline exceeded", err)
	}
	if err := <-abandoned; !errors.Is(err, ErrClosed) {
		t.Fatalf("abandoned with %v, want ErrClosed", err)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
