package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainBound is the bound "drain" of the small deployments.
const drainBound = 2 * time.Second

// playForgedHeartbeat lets another writer send one heartbeat that names a service which does not exist. Right
// after it the endpoint drains. The rule DRAIN is broken if a request reaches the endpoint later than
// drainBound after the acknowledgement of that.
func playForgedHeartbeat(w *world, trouble bool) (bool, error) {
	const service = "orders"
	services := []string{service, service, service}
	if err := w.begin(services, newConfiguration("r1", "r0", services[:1], newRoute("/orders/", service))); err != nil {
		return false, err
	}
	var endpoints []*endpoint
	for _, m := range w.nodes() {
		e, err := startEndpoint(m, 250*time.Millisecond)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	time.Sleep(2 * time.Second)
	c := newClients(w)
	for _, m := range w.nodes() {
		for i := range 3 {
			c.run(m, "/orders/", i)
		}
	}
	time.Sleep(5 * time.Second)
	leaving := endpoints[0]
	if trouble {
		body := leaving.heartbeat("registry-of-2019", "ready", uint64(time.Now().UnixMilli()))
		status := leaving.send(http.MethodPut, leaving.id, body)
		w.rec.logf("another writer sends for %s: %s -> %d", leaving.id, body, status)
		time.Sleep(200 * time.Millisecond)
	}
	acknowledged, ok := leaving.drain()
	if !ok {
		return false, fmt.Errorf("the drain was not acknowledged")
	}
	w.rec.logf("%s drains, acknowledged at %.3f", leaving.id, w.rec.at(acknowledged))
	time.Sleep(time.Until(acknowledged.Add(drainBound + 1500*time.Millisecond)))
	leaving.leave()
	time.Sleep(2 * time.Second)
	statuses := c.end()
	late := leaving.arrivalsAfter(acknowledged.Add(drainBound))
	lost := 0
	for _, a := range late {
		c.mu.Lock()
		status := c.answers[a.id]
		c.mu.Unlock()
		if status != http.StatusOK {
			lost++
		}
		w.rec.logf("order %s reached %s %.3f s after the acknowledgement; its client got %d", a.id, leaving.id, a.at.Sub(acknowledged).Seconds(), status)
	}
	w.rec.logf("answers by status: %v; orders that reached the draining endpoint later than %v after the acknowledgement: %d, of which failed: %d", statuses, drainBound, len(late), lost)
	return len(late) > 0, nil
}
