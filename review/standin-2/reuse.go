package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// reuseAfter is a little longer than the bound of the pages.
const reuseAfter = 2200 * time.Millisecond

// reusedAddress shows whether requests that wait for an endpoint that has fallen silent are given to the endpoint of another
// service that gets its address.
func reusedAddress(record io.Writer, trouble bool) (int, string) {
	f, list, err := begin(record, 20*time.Millisecond, "svc-a", "svc-b", "svc-b")
	if err != nil {
		return failed, err.Error()
	}
	defer f.close()
	x, client := list[0], f.sidecars()[1]
	if trouble {
		x.fallSilent()
	}
	silentAt := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	send := func(n int, deadline time.Duration) {
		for range n {
			wg.Go(func() {
				a := f.send(client, "POST", "shop.example", "/booking/1", newID(), "abc", deadline)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
	}
	send(x.slots, 3*time.Second) // these hold the slots
	time.Sleep(300 * time.Millisecond)
	send(5, 8*time.Second) // these wait
	time.Sleep(time.Until(silentAt.Add(reuseAfter)))
	ran := 0
	if trouble {
		y, err := f.reuseAddress(x, "i-90", "svc-b")
		if err != nil {
			return failed, err.Error()
		}
		wg.Wait()
		ran = len(y.began())
	}
	wg.Wait()
	seen := fmt.Sprintf("answers by status %v to requests of a route to svc-a; %d of them were run by an endpoint of svc-b", statuses, ran)
	if ran > 0 {
		return broken, seen
	}
	return held, seen
}

// fallSilent makes the endpoint answer nothing from now on and send no heartbeat. Its connections stay open.
func (e *endpoint) fallSilent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent, e.dark = true, true
	e.f.note("the endpoint %s of %s falls silent for good", e.id, e.service)
}

// reuseAddress gives the address of an endpoint that has fallen silent to a new one of another service. The settings file of
// the machine says so.
func (f *fleet) reuseAddress(x *endpoint, id, service string) (*endpoint, error) {
	_ = x.listener.Close()
	x.m.service = service
	f.note("the address of %s goes to the endpoint %s of %s", x.id, id, service)
	if err := f.writeSettings(x.m); err != nil {
		return nil, err
	}
	return newEndpoint(f, x.m, id, x.work)
}
