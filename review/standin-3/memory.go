package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// manyRoutes is the number of routes of the configuration.
	manyRoutes = 6000
	// lostShare is the share of the acknowledgements to the operator that are lost.
	lostShare = 0.7
	// ordersAtOnce is the number of orders that are in progress at once; the pages allow eight.
	ordersAtOnce = 4
	// memoryMB is the memory of a control instance in the small deployments, above which the platform ends its process.
	memoryMB = 280
	// endsForFault is how often processes of a machine must end for a fault.
	endsForFault = 3
)

// playLostAcknowledgements lets operators change one route of a long configuration again and again while most of the
// acknowledgements are lost, so that they send the same orders again. The rule Fault is broken if the platform has to
// end the processes of half of the core three times because of their memory.
func playLostAcknowledgements(w *world, trouble bool) (bool, error) {
	const service = "orders"
	if err := w.begin([]string{service, service}, newConfiguration("r1", "r0", []string{service}, newRoute("/route-0/", service))); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	watch := newMemoryWatch(w)
	var wg sync.WaitGroup
	wg.Go(func() { watch.run(stop) })
	until := time.Now().Add(110 * time.Second)
	o := &operators{w: w, client: &http.Client{Timeout: 2 * time.Second}, rest: restOfRoutes(service), trouble: trouble, until: until, chains: make(chan struct{}, ordersAtOnce-1)}
	for version := 2; time.Now().Before(until) && !watch.isFault(); version++ {
		o.change(version)
	}
	o.wg.Wait()
	close(stop)
	wg.Wait()
	w.rec.logf("%d changes, %d orders sent again after a lost acknowledgement; ends of processes because of memory: %v; most memory, MB: %v", o.changes, o.repeats.Load(), watch.ends, watch.most)
	return watch.isFault(), nil
}

// operators send configurations that differ in one route. One sends each change until it is accepted; once it is, the next one
// builds on it, while the first goes on until it has got an acknowledgement.
type operators struct {
	w       *world
	client  *http.Client
	rest    string
	trouble bool
	until   time.Time
	changes int
	repeats atomic.Int64
	chains  chan struct{} // holds an element for each order that is sent again
	wg      sync.WaitGroup
}

// routeText returns a route as JSON.
func routeText(n, timeoutMillis int, service string) string {
	return fmt.Sprintf(`{"name":"r-%d","host":"%s","pathPrefix":"/route-%d/","routeKind":"unsafe","timeout":"%dms","targetLatency":"500ms","priority":0,"service":"%s","maxAttempts":2}`,
		n, routeHost, n, timeoutMillis, service)
}

// restOfRoutes returns all routes but the first one, and what follows them.
func restOfRoutes(service string) string {
	var b strings.Builder
	for n := 1; n < manyRoutes; n++ {
		b.WriteString("," + routeText(n, 2000, service))
	}
	fmt.Fprintf(&b, `],"services":[{"name":"%s","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],`, service)
	b.WriteString(`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}`)
	return b.String()
}

// change sends a version until it is accepted. With trouble, lostShare of the acknowledgements are lost; the version is then
// sent again until one arrives.
func (o *operators) change(version int) {
	body := fmt.Sprintf(`{"version":"r%d","baseVersion":"r%d","routes":[%s%s}`, version, version-1, routeText(0, 1000+version, "orders"), o.rest)
	o.changes++
	for try := 0; time.Now().Before(o.until); try++ {
		accepted, lost := o.send(version, try, body)
		if accepted && !lost {
			return
		}
		if !accepted {
			continue
		}
		o.chains <- struct{}{}
		o.wg.Go(func() {
			defer func() { <-o.chains }()
			for try++; lost && time.Now().Before(o.until); try++ {
				o.repeats.Add(1)
				_, lost = o.send(version, try, body)
			}
		})
		return
	}
}

// send sends a version to the next control instance, and waits after a failure.
func (o *operators) send(version, try int, body string) (accepted, lost bool) {
	m := o.w.machines[(version+try)%3]
	status := o.put(m, body)
	accepted = status == http.StatusOK
	lost = o.trouble && accepted && rand.Float64() < lostShare
	o.w.rec.logf("configuration r%d (%d bytes) to %s -> %d, acknowledgement lost: %v", version, len(body), m.name, status, lost)
	if lost || !accepted {
		time.Sleep(time.Duration(min(10<<min(try, 4), 100)) * time.Millisecond)
	}
	return accepted, lost || !accepted
}

func (o *operators) put(m *machine, body string) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+m.address(offsetControl)+"/celeryyard/config", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// memoryWatch ends processes that use more memory than their machine has, as the platform does, and starts them again.
type memoryWatch struct {
	w          *world
	mu         sync.Mutex
	ends, most map[string]int
}

func newMemoryWatch(w *world) *memoryWatch {
	return &memoryWatch{w: w, ends: map[string]int{}, most: map[string]int{}}
}

func (v *memoryWatch) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, m := range v.w.machines[:3] {
			used := m.memoryMB()
			v.mu.Lock()
			v.most[m.name] = max(v.most[m.name], used)
			v.mu.Unlock()
			if used <= memoryMB {
				continue
			}
			m.kill()
			v.w.rec.logf("%s uses %d MB of %d: its process is ended, and started again after 0.5 s", m.name, used, memoryMB)
			time.Sleep(500 * time.Millisecond)
			if err := m.start(false); err != nil {
				v.w.rec.logf("%s cannot start: %v", m.name, err)
			}
			v.mu.Lock()
			v.ends[m.name]++
			v.mu.Unlock()
		}
	}
}

// isFault reports whether processes of half of the core have ended endsForFault times.
func (v *memoryWatch) isFault() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	often := 0
	for _, n := range v.ends {
		if n >= endsForFault {
			often++
		}
	}
	return 2*often >= 3
}

// memoryMB returns the resident memory of the machine's process; 0 if it can't be read.
func (m *machine) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.running.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb := 0
			_, _ = fmt.Sscan(value, &kb)
			return kb >> 10
		}
	}
	return 0
}
