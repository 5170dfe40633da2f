package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// foreignAnswer shows whether a client that sends a safe request again, since its node was killed, gets the answer to this
// request. Its requests have a header of their own, which is the same in all attempts.
func foreignAnswer(record io.Writer, trouble bool) (int, string) {
	f, _, err := begin(record, 800*time.Millisecond, "svc-a", "svc-a", "svc-b")
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	m := f.sidecars()[2]
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	foreign := 0
	for n := range 6 {
		wg.Go(func() {
			a := f.searchAgain(m, fmt.Sprintf("search-%d", n))
			mu.Lock()
			defer mu.Unlock()
			ends[a.end]++
			if a.foreign {
				foreign++
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.kill(m)
		time.Sleep(300 * time.Millisecond)
		if err := f.start(m); err != nil {
			return failed, err.Error()
		}
	}
	wg.Wait()
	seen := fmt.Sprintf("ends of 6 requests: %v; %d clients got the answer to another request", ends, foreign)
	switch {
	case foreign > 0:
		return broken, seen
	case ends["200"] == 0:
		return failed, seen
	}
	return held, seen
}

// A client sends a request at most maxTries times, with a pause that a node needs to start again.
const (
	maxTries   = 3
	retryPause = 1200 * time.Millisecond
)

// searchEnd is how a request of a client ended; foreign means that its answer belongs to another attempt.
type searchEnd struct {
	end     string
	foreign bool
}

// searchAgain sends a safe request, and sends it again after each failure within its deadline, each time on a new
// connection and with a new ID.
func (f *fleet) searchAgain(m *machine, key string) searchEnd {
	deadline := time.Now().Add(6 * time.Second)
	for try := 1; ; try++ {
		id := newID()
		left := time.Until(deadline)
		a := f.searchOnce(m, id, key, left)
		f.note("client at %s sends %s POST /search/1 (%s, try %d): status %d, ID in the answer %q, stamp %q, %v", m.name, id, key, try, a.status, a.id, a.stamp, a.err)
		if a.status == 200 {
			return searchEnd{"200", a.id != id || !strings.HasSuffix(a.stamp, "."+id)}
		}
		if a.status >= 400 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 || try == maxTries {
			return searchEnd{fmt.Sprint(a.status), false}
		}
		time.Sleep(retryPause)
	}
}

func (f *fleet) searchOnce(m *machine, id, key string, left time.Duration) answer {
	nc, err := net.DialTimeout("tcp", f.address(m, f.ports.outbound), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(left))
	if _, err := fmt.Fprintf(nc, "POST /search/1 HTTP/1.1\r\nHost: shop.example\r\nX-Celeryyard-Attempt-Id: %s\r\nX-Celeryyard-Deadline-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: 5\r\n\r\nquery", id, left.Milliseconds(), key); err != nil {
		return answer{err: err}
	}
	return readAnswer(nc, "POST")
}
