package main

import "time"

// playReusedAddress ends the endpoint of a machine and starts one of another service at its address, after the
// bound "reuseAfter". The settings file changes with it, without a signal, and the first heartbeat is late. The rule
// UNASKED is broken if an endpoint runs a request that began on the machine after that and names the service
// that has gone.
func playReusedAddress(w *world, trouble bool) (bool, error) {
	const orders, stock = "orders", "stock"
	services := []string{orders, stock}
	routes := []map[string]any{newRoute("/orders/", orders), newRoute("/stock/", stock)}
	if err := w.begin([]string{orders, orders, stock, stock}, newConfiguration("r1", "r0", services, routes...)); err != nil {
		return false, err
	}
	var endpoints []*endpoint
	for _, m := range w.nodes() {
		e, err := startEndpoint(m, 30*time.Millisecond, 0)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	time.Sleep(2 * time.Second)
	c := newClients(w)
	m := w.nodes()[0]
	for i := range 3 {
		c.run(m, "/stock/", i)
	}
	time.Sleep(2 * time.Second)
	changed, late := time.Now(), 0
	if trouble {
		endpoints[0].crash()
		w.rec.logf("%s has crashed", endpoints[0].id)
		time.Sleep(2500 * time.Millisecond)
		m.service = stock
		if _, err := m.writeSettings(false); err != nil {
			return false, err
		}
		changed = time.Now()
		e, err := startEndpoint(m, 30*time.Millisecond, 2500*time.Millisecond)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
		w.rec.logf("%s starts at the address; the settings file names %s; its first heartbeat arrives 2.5 s later", e.id, stock)
	}
	time.Sleep(7 * time.Second)
	statuses := c.end()
	for _, e := range endpoints {
		for _, a := range e.arrivalsAfter(changed) {
			c.mu.Lock()
			sent := c.sentAt[a.id]
			c.mu.Unlock()
			if sent.After(changed) && a.caller != m.service {
				if late++; late <= 10 {
					w.rec.logf("request %s, sent %.3f s after the change, ran at %s with caller service %s", a.id, sent.Sub(changed).Seconds(), e.id, a.caller)
				}
			}
		}
	}
	w.rec.logf("answers by status: %v; requests that ran with the service that has gone: %d", statuses, late)
	return late > 0, nil
}
