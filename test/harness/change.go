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

// decisionTimeout bounds the time until a change is decided, including retries; after it the test
// fails.
const decisionTimeout = 20 * time.Second

// Decision is the response to a submitted change.
type Decision struct {
	State    string `json:"state"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
	Text     string `json:"text"`
	// Sent is when the change was first sent.
	Sent time.Time `json:"-"`
}

// SubmitChange submits a change to a team over the operators' API and returns the decision. body is nil for a withdrawal. Like the
// operators' command, it resends the change under the same ID to one control instance after another
// until the change is decided. It fails the test if that takes longer than decisionTimeout.
func (f *Fleet) SubmitChange(id, organisation, action, name string, expectedRevision uint64, body any) Decision {
	f.t.Helper()
	request := map[string]any{"id": id, "kind": "team", "action": action, "name": name}
	if body != nil {
		request["body"] = body
	}
	if expectedRevision != 0 {
		request["expected_revision"] = expectedRevision
	}
	text := encode(f.t, request)
	firstSent, lastResult := time.Now(), ""
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; time.Since(firstSent) < decisionTimeout; i++ {
		address := f.Plan.Controls[i%len(f.Plan.Controls)].OperatorsAddress
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/changes", bytes.NewReader(text))
		if err != nil {
			f.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+layout.Token(organisation))
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			lastResult = err.Error()
			continue
		}
		d := Decision{Sent: firstSent}
		err = json.UnmarshalRead(res.Body, &d)
		_ = res.Body.Close()
		if err == nil && (d.State == "accepted" || d.State == "refused") {
			return d
		}
		lastResult = fmt.Sprintf("status %d, decision %+v, error %v", res.StatusCode, d, err)
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("change %s was not decided within %v: %s", id, decisionTimeout, lastResult)
	return Decision{}
}

// VersionObserver polls the versions that nodes serve.
type VersionObserver struct {
	// mu guards seen and versionDecreases.
	mu sync.Mutex
	// seen holds the observations of each node by its name. An observation is added only if its
	// version is higher than that of the node's previous observation.
	seen map[string][]observation
	// versionDecreases lists the observed changes of a node to a lower version.
	versionDecreases []string
	stop             chan struct{}
	wg               sync.WaitGroup
}

// observation records when a version was first observed.
type observation struct {
	version uint64
	at      time.Time
}

// observationInterval is the interval at which each node is polled. A version is observed up to this
// interval after the node began to serve it.
const observationInterval = 20 * time.Millisecond

// ObserveVersions starts to poll the nodes. Polling continues until Stop is called.
func ObserveVersions(nodes []*Process) *VersionObserver {
	o := &VersionObserver{seen: map[string][]observation{}, stop: make(chan struct{})}
	for _, p := range nodes {
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			tick := time.NewTicker(observationInterval)
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

func (o *VersionObserver) record(node string, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.seen[node]
	if n := len(list); n > 0 && list[n-1].version >= version {
		if list[n-1].version > version {
			o.versionDecreases = append(o.versionDecreases, fmt.Sprintf("%s from %d to %d", node, list[n-1].version, version))
		}
		return
	}
	o.seen[node] = append(list, observation{version, time.Now()})
}

// Stop stops polling and waits until all polling has ended.
func (o *VersionObserver) Stop() {
	close(o.stop)
	o.wg.Wait()
}

// VersionDecreases returns a description of each observed change of a node to a lower version.
func (o *VersionObserver) VersionDecreases() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.versionDecreases)
}

// AllReachedAt returns the time at which the last of the nodes was first observed at the given
// version or a later one. It returns false until each of the nodes has been observed at such a
// version.
func (o *VersionObserver) AllReachedAt(version uint64, nodes []*Process) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var last time.Time
	for _, p := range nodes {
		i := slices.IndexFunc(o.seen[p.Name], func(s observation) bool { return s.version >= version })
		if i < 0 {
			return last, false
		}
		if at := o.seen[p.Name][i].at; at.After(last) {
			last = at
		}
	}
	return last, true
}

// CallSucceeds reports whether a call to host through the node at address node is answered with
// status 200.
func CallSucceeds(node, host string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+node+"/", nil)
	if err != nil {
		return false
	}
	req.Host = host
	res, err := probeClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
