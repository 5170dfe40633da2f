package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// contactBound is the bound "contact" of the small deployments.
const contactBound = 3 * time.Second

// playForgottenEnd ends all processes of the core and one node at one moment, after the node has acknowledged that the
// endpoint beside it is gone, and starts them again. A heartbeat that the endpoint sent before arrives late. The rule
// DRAIN is broken if a request that is sent when all machines are in touch again reaches the endpoint later than
// drainBound after the acknowledgement.
func playForgottenEnd(w *world, trouble bool) (bool, error) {
	const service = "orders"
	services := []string{service, service, service, service}
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
	time.Sleep(4 * time.Second)

	leaving := endpoints[0]
	late := leaving.heartbeat(service, "ready", leaving.nextSequence())
	w.rec.logf("a heartbeat of %s is under way and will be late: %s", leaving.id, late)
	close(leaving.stop)
	last := leaving.heartbeat(service, "ready", leaving.nextSequence())
	status := 0
	for range 10 {
		if status = leaving.send(http.MethodDelete, leaving.id, last); status/100 == 2 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	acknowledged := time.Now()
	w.rec.logf("%s deregisters -> %d; it goes on serving", leaving.id, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the end of the endpoint was not acknowledged")
	}
	time.Sleep(300 * time.Millisecond)
	started := time.Now()
	if trouble {
		if err := w.restartAtOnce(w.machines[:4], 500*time.Millisecond); err != nil {
			return false, err
		}
		started = time.Now()
		w.rec.logf("all processes of the core and that of %s were killed and are started again", leaving.m.name)
	}
	inTouch := started.Add(contactBound + 500*time.Millisecond)
	time.Sleep(time.Until(inTouch))
	status = leaving.send(http.MethodPut, leaving.id, late)
	w.rec.logf("the late heartbeat of %s arrives, %.1f s after it was sent -> %d", leaving.id, time.Since(acknowledged).Seconds(), status)
	time.Sleep(time.Until(inTouch.Add(3 * time.Second)))
	leaving.end()
	w.rec.logf("%s exits", leaving.id)
	time.Sleep(1500 * time.Millisecond)
	statuses := c.end()
	wrong, failed := 0, 0
	for _, a := range leaving.arrivalsAfter(acknowledged.Add(drainBound)) {
		if sent := c.sentAt[a.id]; sent.After(inTouch) {
			wrong++
			if c.answers[a.id] != http.StatusOK {
				failed++
			}
			w.rec.logf("order %s reached %s %.3f s after the acknowledgement; its client got %d", a.id, leaving.id, a.at.Sub(acknowledged).Seconds(), c.answers[a.id])
		}
	}
	w.rec.logf("answers by status: %v; orders that reached the endpoint that had gone, sent when all were in touch: %d, of which failed: %d", statuses, wrong, failed)
	return wrong > 0, nil
}

// restartAtOnce kills the processes of machines at one moment and starts them again after a pause.
func (w *world) restartAtOnce(machines []*machine, pause time.Duration) error {
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(m.kill)
	}
	wg.Wait()
	time.Sleep(pause)
	for _, m := range machines {
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}
