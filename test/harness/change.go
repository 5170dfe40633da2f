package harness

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/layout"
)

// changeLimit bounds the time until a change is decided.
const changeLimit = 20 * time.Second

// Decision is the answer to a change.
type Decision struct {
	State    string `json:"state"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
	Text     string `json:"text"`
	// Sent is when the change was first sent.
	Sent time.Time `json:"-"`
}

// Change submits a change over the operators' API, as the command does: it
// resends it under the same ID to one instance after another until it is decided.
func (f *Fleet) Change(id, organisation, action, name string, expected uint64, body any) Decision {
	f.t.Helper()
	q := map[string]any{"id": id, "kind": "team", "action": action, "name": name, "body": body}
	if expected != 0 {
		q["expected_revision"] = expected
	}
	text := encode(f.t, q)
	sent, last := time.Now(), ""
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Since(sent) < changeLimit; i++ {
		address := f.Plan.Controls[i%len(f.Plan.Controls)].Operators
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/changes", bytes.NewReader(text))
		if err != nil {
			f.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+layout.Token(organisation))
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		d := Decision{Sent: sent}
		err = json.UnmarshalRead(res.Body, &d)
		_ = res.Body.Close()
		if err == nil && (d.State == "accepted" || d.State == "refused") {
			return d
		}
		last = fmt.Sprintf("status %d, %+v, error %v", res.StatusCode, d, err)
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("change %s is not decided within %v: %s", id, changeLimit, last)
	return Decision{}
}

// Observer reads the versions that nodes serve, again and again.
type Observer struct {
	mu sync.Mutex
	// reached holds for each node the first time at which each version was seen.
	seen map[string][]sight
	// Backwards lists nodes that were seen at a lower version than before.
	backwards []string
	stop      chan struct{}
	wg        sync.WaitGroup
}

type sight struct {
	version uint64
	at      time.Time
}

// observeInterval is the resolution of an Observer.
const observeInterval = 20 * time.Millisecond

// Observe starts to observe the nodes until Stop.
func Observe(nodes []*Process) *Observer {
	o := &Observer{seen: map[string][]sight{}, stop: make(chan struct{})}
	for _, p := range nodes {
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			tick := time.NewTicker(observeInterval)
			defer tick.Stop()
			for {
				if v, ok := p.Metric("celeryyard_view_version"); ok && v > 0 {
					o.record(p.Name, uint64(v))
				}
				select {
				case <-o.stop:
					return
				case <-tick.C:
				}
			}
		}()
	}
	return o
}

func (o *Observer) record(node string, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.seen[node]
	if n := len(list); n > 0 && list[n-1].version >= version {
		if list[n-1].version > version {
			o.backwards = append(o.backwards, fmt.Sprintf("%s from %d to %d", node, list[n-1].version, version))
		}
		return
	}
	o.seen[node] = append(list, sight{version, time.Now()})
}

// Stop ends the observation.
func (o *Observer) Stop() {
	close(o.stop)
	o.wg.Wait()
}

// Backwards lists the nodes that were seen to return to a lower version.
func (o *Observer) Backwards() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.backwards)
}

// Reached returns when the last of the nodes was first seen at version or above,
// and false while one was not.
func (o *Observer) Reached(version uint64, nodes []*Process) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var last time.Time
	for _, p := range nodes {
		i := slices.IndexFunc(o.seen[p.Name], func(s sight) bool { return s.version >= version })
		if i < 0 {
			return last, false
		}
		if at := o.seen[p.Name][i].at; at.After(last) {
			last = at
		}
	}
	return last, true
}

// Answers reports whether a call to host through a node succeeds.
func Answers(node, host string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+node+"/", nil)
	if err != nil {
		return false
	}
	req.Host = host
	res, err := probe.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
