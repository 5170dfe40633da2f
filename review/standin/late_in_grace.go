package main

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Work of the endpoints: the mean of each kind of request in the site file of tacto-norte, and a
// long request of the same kind, below its 'max'.
const (
	orderWork       = 210 * time.Millisecond
	longOrderWork   = 1450 * time.Millisecond
	historyWork     = 640 * time.Millisecond
	longHistoryWork = 2700 * time.Millisecond
	busyHistoryWork = 2850 * time.Millisecond

	orderDeadline   = 1500 * time.Millisecond
	historyDeadline = 5 * time.Second
	historyTimeout  = 3 * time.Second
)

// workTable holds the requests that take another time than the mean of their kind.
type workTable struct {
	mu    sync.Mutex
	works map[string]time.Duration
}

func (t *workTable) set(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.works[id] = d
}

func (t *workTable) get(id string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.works[id]
}

// lateInGrace stops one node by SIGTERM while its clients keep using their open connections. Requests
// that they send later than 3 s after the SIGTERM and that are passed on must be answered.
func lateInGrace(rec *record, trouble bool) error {
	p, err := newPlatform(rec, []string{"taller", "catalogo", "taller"})
	if err != nil {
		return err
	}
	setActive(p)
	defer p.close()
	works := &workTable{works: map[string]time.Duration{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var endpoints []*endpoint
	for _, m := range p.nodes {
		e, err := newEndpoint(m, "i-"+m.name, works.get)
		if err != nil {
			return err
		}
		defer func() { _ = e.server.Close() }()
		endpoints = append(endpoints, e)
	}
	if err := p.startAll(); err != nil {
		return err
	}
	for _, e := range endpoints {
		go e.beat(ctx)
	}
	routes := []route{
		{name: "orders", prefix: "/orders/", kind: "unsafe", service: "catalogo", timeout: orderDeadline, target: 600 * time.Millisecond, priority: 1},
		{name: "history", prefix: "/history/", kind: "safe", service: "taller", timeout: historyTimeout, target: 2 * time.Second, priority: 2},
	}
	if err := p.configure(1, 0, routes, []string{"catalogo", "taller"}); err != nil {
		return err
	}
	if err := p.waitReady(startupTimeout); err != nil {
		return err
	}
	time.Sleep(beatInterval + 500*time.Millisecond)

	order := func(c *client, work time.Duration) answer {
		id := newID()
		works.set(id, work)
		return c.do("POST", "/orders/1", id, orderDeadline)
	}
	history := func(c *client, work time.Duration) answer {
		id := newID()
		works.set(id, work)
		a := c.do("GET", "/history/1", id, historyDeadline)
		a.limit = historyTimeout
		return a
	}
	x := p.nodes[0]
	var orderClients, historyClients, others []*client
	for i := range 4 {
		orderClients = append(orderClients, &client{m: x, name: "order-client-" + string(rune('1'+i))})
		historyClients = append(historyClients, &client{m: x, name: "history-client-" + string(rune('1'+i))})
		others = append(others, &client{m: p.nodes[2], name: "other-client-" + string(rune('1'+i))}, &client{m: p.nodes[1], name: "other-client-" + string(rune('5'+i))})
	}
	// Ordinary traffic, from which the nodes learn how long requests take.
	var wg sync.WaitGroup
	served := make(chan bool, 200)
	for i := range 4 {
		wg.Add(2)
		go func() {
			defer wg.Done()
			for range 12 {
				served <- order(orderClients[i], orderWork).status == 200
			}
		}()
		go func() {
			defer wg.Done()
			for range 5 {
				served <- history(historyClients[i], historyWork).status == 200
			}
		}()
	}
	wg.Wait()
	close(served)
	for ok := range served {
		if !ok {
			return errors.New("a request of the ordinary traffic was not served")
		}
	}

	term := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(term.Add(d))) }
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if trouble {
			x.terminate()
		}
	}()
	var mu sync.Mutex
	var late []answer
	send := func(d time.Duration, f func() answer) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at(d)
			a := f()
			mu.Lock()
			late = append(late, a)
			mu.Unlock()
		}()
	}
	// Requests of other machines' clients, some of which the endpoint beside the stopping node runs.
	for i, c := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at(1400*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			history(c, busyHistoryWork)
		}()
	}
	for i := range 4 {
		send(3200*time.Millisecond+time.Duration(i)*150*time.Millisecond, func() answer { return history(historyClients[i], longHistoryWork) })
		send(4300*time.Millisecond+time.Duration(i)*20*time.Millisecond, func() answer { return order(orderClients[i], longOrderWork) })
	}
	wg.Wait()
	<-stopped
	time.Sleep(500 * time.Millisecond) // the endpoints notice closed connections
	return checkLate(rec, endpoints, late, term)
}

// checkLate checks the requests that were sent later than 3 s after the SIGTERM: one that an endpoint
// began to work on must get that endpoint's answer, unless the endpoint broke off or the request's
// time was over.
func checkLate(rec *record, endpoints []*endpoint, late []answer, term time.Time) error {
	broken := 0
	for _, a := range late {
		if a.sent.Sub(term) <= 3*time.Second {
			continue
		}
		for _, e := range endpoints {
			r, ok := e.findRun(a.id)
			if !ok {
				continue
			}
			switch {
			case a.err == nil && a.stamped, a.end.Sub(a.sent) >= a.limit:
			case r.outcome == "answered" || r.outcome == "cut":
				broken++
				rec.add("check", "LOST: %s was sent %.3f s after the SIGTERM, %s began to work on it, and after %.3f s its client got no answer of the endpoint (status %d, error %v)",
					a.id, a.sent.Sub(term).Seconds(), e.id, a.end.Sub(a.sent).Seconds(), a.status, a.err)
			}
		}
	}
	rec.add("check", "%d requests sent later than 3 s after the SIGTERM were passed on and lost", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
