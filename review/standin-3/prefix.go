package main

import (
	"net/http"
	"time"
)

// applyBound is the bound "configApply" of the small deployments.
const applyBound = 2 * time.Second

// playEncodedPrefix adds a route whose path prefix holds a letter outside ASCII, in the form in which it stands in
// the path of a request. The rule CONFIG is broken if a request below the prefix that is sent later than
// applyBound after the acknowledgement is still run by the service of the older version, or refused with 404.
func playEncodedPrefix(w *world, trouble bool) (bool, error) {
	const front, library = "front", "library"
	services := []string{front, library}
	everything := newRoute("/", front)
	if err := w.begin([]string{front, front, library, library}, newConfiguration("r1", "r0", services, everything)); err != nil {
		return false, err
	}
	ranBy := map[string]func() []arrival{}
	for _, m := range w.nodes() {
		e, err := startEndpoint(m, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		ranBy[e.id] = func() []arrival { return e.arrivalsAfter(time.Time{}) }
	}
	time.Sleep(2 * time.Second)
	prefix := "/knjiznica/"
	if trouble {
		prefix = "/knji%C5%BEnica/"
	}
	w.rec.logf("configuration r3 adds the route %s to %s", prefix, library)
	acknowledged, err := w.putConfiguration(newConfiguration("r3", "r1", services, everything, newRoute(prefix, library)), 5*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(applyBound + 2*time.Second)))
	w.rec.logf("clients send orders below %s, %.1f s after the acknowledgement", prefix, time.Since(acknowledged).Seconds())
	c := newClients(w)
	for _, m := range w.nodes() {
		c.run(m, prefix, 0)
	}
	time.Sleep(5 * time.Second)
	statuses := c.end()
	byService := map[string]int{}
	for _, m := range w.nodes() {
		for _, a := range ranBy["i-"+m.name+"-"+m.service]() {
			byService[m.service]++
			if m.service == front && byService[front] <= 10 {
				w.rec.logf("order %s%s ran at an endpoint of %s", prefix, a.id, m.service)
			}
		}
	}
	w.rec.logf("answers by status: %v; orders run by service: %v", statuses, byService)
	return byService[front] > 0 || statuses[http.StatusNotFound] > 0, nil
}
