package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/celeryyard/celeryyard/core/httphead"
)

const routeHost = "shop.example"

// clients sends requests to the outbound addresses of nodes and records the answers.
type clients struct {
	w    *world
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	answers map[string]int // status by attempt ID; 0 if the connection ended without an answer
	sentAt  map[string]time.Time
}

func newClients(w *world) *clients {
	return &clients{w: w, stop: make(chan struct{}), answers: map[string]int{}, sentAt: map[string]time.Time{}}
}

// run lets one client send orders below a path through a node, one after the other, until the clients are
// stopped.
func (c *clients) run(m *machine, path string, number int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: httphead.MaxBytes}}
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			c.order(client, m, path, fmt.Sprintf("%s-%d-%d", m.name, number, i))
		}
	}()
}

func (c *clients) order(client *http.Client, m *machine, path, id string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+m.address(offsetOutbound)+path+id, strings.NewReader("one order"))
	if err != nil {
		return
	}
	r.Host = routeHost
	r.Header.Set("X-Celeryyard-Attempt-Id", id)
	r.Header.Set("X-Celeryyard-Deadline-Ms", "2000")
	c.w.rec.logf("client at %s sends POST %s%s", m.name, path, id)
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	status := 0
	if resp, err := client.Do(r); err == nil {
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			status = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	c.answers[id] = status
	c.mu.Unlock()
	c.w.rec.logf("client at %s gets %d for %s", m.name, status, id)
}

// end stops the clients, waits for them and returns how often each status was answered.
func (c *clients) end() map[int]int {
	close(c.stop)
	c.wg.Wait()
	out := map[int]int{}
	for _, status := range c.answers {
		out[status]++
	}
	return out
}
