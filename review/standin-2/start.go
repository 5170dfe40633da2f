package main

import (
	"fmt"
	"io"
	"time"
)

// plainServices and plainRoutes are the first configuration.
var (
	plainServices = []string{"svc-a", "svc-b"}
	plainRoutes   = []route{
		{"lookup", "shop.example", "/lookup/", "safe", "1500ms", "500ms", 2, "svc-a", 2},
		{"search", "shop.example", "/search/", "safe", "9000ms", "2000ms", 2, "svc-a", 2},
		{"report", "shop.example", "/report/", "safe", "12000ms", "9000ms", 2, "svc-a", 2},
		{"order", "shop.example", "/order/", "unsafe", "2000ms", "500ms", 1, "svc-a", 2},
		{"booking", "shop.example", "/booking/", "unsafe", "9500ms", "2000ms", 1, "svc-a", 2},
		{"upload", "shop.example", "/upload/", "unsafe", "6000ms", "2500ms", 1, "svc-a", 2},
		{"claim", "shop.example", "/claim/", "unsafe", "1000ms", "300ms", 0, "svc-b", 2},
	}
)

// inTouch is a little longer than the bound contact of the pages: machines on which nothing has happened for so long are in
// touch.
const inTouch = 3500 * time.Millisecond

// begin starts a deployment with sound endpoints and the first configuration, and waits until it is ready.
func begin(record io.Writer, work time.Duration, services ...string) (*fleet, []*endpoint, error) {
	f, err := newFleet(record, services...)
	if err != nil {
		return nil, nil, err
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, nil, err
	}
	f.first = false
	var list []*endpoint
	for i, m := range f.sidecars() {
		e, err := newEndpoint(f, m, fmt.Sprintf("i-%02d", i+1), work)
		if err != nil {
			f.close()
			return nil, nil, err
		}
		list = append(list, e)
	}
	if status := f.order(configuration(3, 0, plainServices, plainRoutes...), 15*time.Second); status != 200 {
		f.close()
		return nil, nil, fmt.Errorf("the first configuration got %d", status)
	}
	for _, m := range f.sidecars() {
		if !f.awaitReady(m, 10*time.Second) {
			f.close()
			return nil, nil, fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(inTouch)
	f.note("all machines are in touch")
	return f, list, nil
}
