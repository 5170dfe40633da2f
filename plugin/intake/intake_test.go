package intake

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// Guards against grants whose bytes add up to more than the bound, against bytes that are lost or returned twice, and against
// short changes that overtake a long one.
func TestQueueKeepsItsBound(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := queue{maxBytes: 100, maxWaiting: 10}
		var live []*waiter
		for step := range 300 {
			if len(live) == 0 || rng.IntN(3) > 0 {
				waiting := len(q.waiting)
				w, err := q.add(rng.Int64N(150))
				if (err != nil) != (waiting >= 10) {
					t.Fatalf("seed %d, step %d: %d waiting, error %v", seed, step, waiting, err)
				}
				if err == nil {
					live = append(live, w)
				}
			} else {
				i := rng.IntN(len(live))
				q.release(live[i])
				live = append(live[:i:i], live[i+1:]...)
			}
			var sum int64
			overtaken := false
			for _, w := range live { // in the order of their arrival
				select {
				case <-w.granted:
					sum += w.bytes
					if overtaken {
						t.Fatalf("seed %d, step %d: a change overtook an earlier one", seed, step)
					}
				default:
					overtaken = true
				}
			}
			if sum != q.held || sum > 100 {
				t.Fatalf("seed %d, step %d: %d bytes granted, %d held", seed, step, sum, q.held)
			}
		}
		for _, w := range live {
			q.release(w)
		}
		if q.held != 0 || len(q.waiting) != 0 {
			t.Fatalf("seed %d: %d bytes, %d changes left", seed, q.held, len(q.waiting))
		}
	}
}

// startServer serves changes. Each is held until hold returns.
func startServer(t *testing.T, settings string, hold func(body []byte)) *httptest.Server {
	k, _ := kerneltest.Start(t, []string{"intake"}, `{"instance": {"name": "a"}, "intake": `+settings+`}`, false)
	in := k.Plugin("intake").(*Intake)
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, release, err := in.ReadBody(rw, r, 1000)
		if err != nil {
			rw.WriteHeader(StatusCode(err))
			return
		}
		defer release()
		hold(body)
	}))
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		t.Error("503 without Retry-After")
	}
	return resp.StatusCode
}

// Guards against an instance that reads the bodies of all operators at once, against refusals of changes for which there is
// room, and against one that is refused although the other one is decided in time.
func TestBodiesAreReadWhileThereIsRoom(t *testing.T) {
	var mu sync.Mutex
	held, most := 0, 0
	s := startServer(t, `{"max_bytes": 1000, "max_wait": "5s"}`, func(body []byte) {
		mu.Lock()
		held += len(body)
		most = max(most, held)
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		held -= len(body)
		mu.Unlock()
	})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			if status := post(t, s.URL, strings.Repeat("x", 400)); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	wg.Wait()
	if most > 1000 || most < 800 {
		t.Errorf("%d bytes were held, the bound is 1000", most)
	}
}

// Guards against changes that wait without end, or that get an answer other than the one that lets operators send them again.
func TestChangeWithoutRoomIsRefusedInTime(t *testing.T) {
	block := make(chan struct{})
	s := startServer(t, `{"max_bytes": 1000, "max_wait": "50ms", "max_waiting": 1}`, func([]byte) { <-block })
	first := make(chan int)
	go func() { first <- post(t, s.URL, strings.Repeat("x", 900)) }()
	time.Sleep(100 * time.Millisecond) // the first change is held
	began := time.Now()
	if status := post(t, s.URL, strings.Repeat("x", 900)); status != http.StatusServiceUnavailable || time.Since(began) > 2*time.Second {
		t.Errorf("status %d after %v", status, time.Since(began))
	}
	close(block)
	if status := <-first; status != http.StatusOK {
		t.Errorf("first change: status %d", status)
	}
	if status := post(t, s.URL, strings.Repeat("x", 1001)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("long change: status %d", status)
	}
}

// Guards against operators whose connections are silent in the middle of a body and who hold the room of all others.
func TestSilentOperatorGivesUpItsRoom(t *testing.T) {
	s := startServer(t, `{"max_bytes": 1000, "max_wait": "5s", "body_timeout": "100ms"}`, func([]byte) {})
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nbegin")
	if status := post(t, s.URL, strings.Repeat("x", 900)); status != http.StatusOK {
		t.Errorf("change beside a silent one: status %d", status)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("silent change: %v, %v", resp, err)
	}
}

// Guards against a deadline for the body that cuts the next request of the same connection, and against bodies of unknown
// length that are not counted.
func TestConnectionServesFurtherChanges(t *testing.T) {
	s := startServer(t, `{"body_timeout": "50ms"}`, func([]byte) { time.Sleep(100 * time.Millisecond) })
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i := range 3 {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(60 * time.Millisecond)
	}
}
