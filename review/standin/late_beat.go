package main

import (
	"context"
	"errors"
	"sync"
	"time"
)

// leavingFleet is a small deployment in which the endpoint beside one node leaves.
type leavingFleet struct {
	p         *platform
	endpoints []*endpoint
	stopBeats []context.CancelFunc
	mu        sync.Mutex
	answers   map[string]answer // by request ID
	cancel    context.CancelFunc
	ctx       context.Context
}

// newLeavingFleet starts four nodes, two of them in one zone, beside endpoints of one service, and clients on all machines but
// the first.
func newLeavingFleet(rec *record) (*leavingFleet, error) {
	p, err := newPlatform(rec, []string{"catalogo", "catalogo", "catalogo", "catalogo"})
	if err != nil {
		return nil, err
	}
	setActive(p)
	f := &leavingFleet{p: p, answers: map[string]answer{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, m := range p.nodes {
		e, err := newEndpoint(m, "i-"+m.name, func(string) time.Duration { return orderWork })
		if err != nil {
			return f, err
		}
		f.endpoints = append(f.endpoints, e)
	}
	if err := p.startAll(); err != nil {
		return f, err
	}
	for _, e := range f.endpoints {
		ctx, stop := context.WithCancel(f.ctx)
		f.stopBeats = append(f.stopBeats, stop)
		go e.beat(ctx)
	}
	routes := []route{{name: "orders", prefix: "/orders/", kind: "unsafe", service: "catalogo", timeout: orderDeadline, target: 600 * time.Millisecond, priority: 1}}
	if err := p.configure(1, 0, routes, []string{"catalogo"}); err != nil {
		return f, err
	}
	if err := p.waitReady(startupTimeout); err != nil {
		return f, err
	}
	time.Sleep(beatInterval + 500*time.Millisecond)
	for j, m := range p.nodes[1:] {
		n := 2
		if j == 2 {
			n = 8 // the machine in the zone of the first one
		}
		for i := range n {
			go f.orders(&client{m: m, name: m.name + "-client-" + string(rune('1'+i))})
		}
	}
	time.Sleep(3 * time.Second)
	if len(f.endpoints[0].runsAfter(time.Time{})) == 0 {
		return f, errors.New("the first endpoint got no request")
	}
	return f, nil
}

// orders sends orders, which may run at most once, one after the other.
func (f *leavingFleet) orders(c *client) {
	for f.ctx.Err() == nil {
		a := c.do("POST", "/orders/1", newID(), orderDeadline)
		f.mu.Lock()
		f.answers[a.id] = a
		f.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// end ends the process of an endpoint, and with it the requests that it runs.
func (f *leavingFleet) end(e *endpoint) {
	_ = e.server.Close()
	f.p.record.add(e.id, "ends")
	time.Sleep(orderDeadline)
}

func (f *leavingFleet) close() {
	f.cancel()
	time.Sleep(500 * time.Millisecond) // the last requests are answered
	f.p.close()
	for _, e := range f.endpoints {
		_ = e.server.Close()
	}
}

// checkDrained reports the requests that the endpoint began to run later than drain after the
// acknowledgement. The node beside it was started at the given time; only requests from contact after
// that on are counted, so that every machine on their way is in touch.
func (f *leavingFleet) checkDrained(e *endpoint, acknowledged, started time.Time) error {
	from := acknowledged.Add(drain)
	if t := started.Add(contact); t.After(from) {
		from = t
	}
	late := e.runsAfter(from)
	for i, r := range late {
		if i < 20 {
			f.p.record.add("check", "DRAIN: %s reached %s %.3f s after it was acknowledged that the endpoint is gone, %.3f s after the start of the node",
				r.id, e.id, r.begin.Sub(acknowledged).Seconds(), r.begin.Sub(started).Seconds())
		}
	}
	lost := 0
	f.mu.Lock()
	for _, r := range late {
		if a, ok := f.answers[r.id]; ok && !a.stamped {
			lost++
		}
	}
	f.mu.Unlock()
	f.p.record.add("check", "%d requests reached %s too late; %d of them were cut by its end and got no answer of it", len(late), e.id, lost)
	if len(late) > 0 {
		return errBroken
	}
	return nil
}

// lateBeat kills a node and starts it again. A heartbeat of the endpoint beside it is late; the
// endpoint leaves meanwhile and tells so by DELETE, which is acknowledged.
func lateBeat(rec *record, trouble bool) error {
	f, err := newLeavingFleet(rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	x, e := f.p.nodes[0], f.endpoints[0]
	f.stopBeats[0]() // from here on the heartbeats are sent below
	started := time.Now()
	if trouble {
		rec.add("platform", "%s is killed", x.name)
		x.kill()
		time.Sleep(restartDelay)
		if err := x.start(); err != nil {
			return err
		}
		started = time.Now()
		time.Sleep(500 * time.Millisecond)
	}
	beat, sequence := e.nextBeat()
	rec.add(e.id, "sends heartbeat %d (ready), which is held up on its way", sequence)
	time.Sleep(300 * time.Millisecond)
	if !e.deregister() {
		return errors.New("DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	rec.add(e.id, "DELETE is acknowledged")
	time.Sleep(3 * time.Second)
	rec.add(e.id, "heartbeat %d arrives; acknowledged: %t", sequence, e.sendBeat(beat))
	time.Sleep(3 * time.Second)
	f.end(e)
	return f.checkDrained(e, acknowledged, started)
}

// forgottenExit is like lateBeat, but the node is killed after it has acknowledged the DELETE.
func forgottenExit(rec *record, trouble bool) error {
	f, err := newLeavingFleet(rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	x, e := f.p.nodes[0], f.endpoints[0]
	f.stopBeats[0]()
	started := time.Now()
	beat, sequence := e.nextBeat()
	rec.add(e.id, "sends heartbeat %d (ready), which is held up on its way", sequence)
	time.Sleep(300 * time.Millisecond)
	if !e.deregister() {
		return errors.New("DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	rec.add(e.id, "DELETE is acknowledged")
	if trouble {
		time.Sleep(200 * time.Millisecond)
		rec.add("platform", "%s is killed", x.name)
		x.kill()
		time.Sleep(restartDelay)
		if err := x.start(); err != nil {
			return err
		}
		started = time.Now()
	}
	time.Sleep(3 * time.Second)
	rec.add(e.id, "heartbeat %d arrives; acknowledged: %t", sequence, e.sendBeat(beat))
	time.Sleep(3 * time.Second)
	f.end(e)
	return f.checkDrained(e, acknowledged, started)
}
