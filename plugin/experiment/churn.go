package experiment

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/httponce"
	"github.com/celeryyard/celeryyard/core/layout"
	"github.com/celeryyard/celeryyard/core/resource"
)

// reviseTeam submits a revision of a service's team with the route timeout f.timeoutMillis, and
// returns the accepted version.
func (f *fleet) reviseTeam(service string) (resource.Version, error) {
	for _, s := range f.plan.Spec.Services {
		if s.Name == service {
			err := f.operator.revise(f.e, s.Organisation, "team", s.Name, layout.Team(s, f.timeoutMillis, nil))
			return f.operator.lastVersion, err
		}
	}
	return 0, nil
}

// runEndpointChurn announces a changed number of slots for one upstream after another until ctx
// ends. It calls onFirst after the first accepted announcement, and returns the number of accepted
// announcements.
func (f *fleet) runEndpointChurn(ctx context.Context, eventsPerSecond int, onFirst func()) int {
	client := httponce.New(1)
	defer client.Close()
	tick := time.NewTicker(time.Second / time.Duration(eventsPerSecond))
	defer tick.Stop()
	accepted := 0
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return accepted
		case <-tick.C:
		}
		if f.announceSlots(ctx, client, i%len(f.nodes), 9+i/len(f.nodes)%2) == nil {
			if accepted++; accepted == 1 {
				onFirst()
			}
		}
	}
}

// announceSlots announces the upstream beside the node with the given index, with the given number
// of slots.
func (f *fleet) announceSlots(ctx context.Context, client *httponce.Client, node, slots int) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	p := f.plan.Nodes[node]
	address := p.Settings["announce"].(map[string]any)["listen"].(string)
	upstream := f.plan.Upstreams[node].Settings["standin"].(map[string]any)["listen"].(string)
	body, err := json.Marshal(map[string]any{"service": p.Service, "address": upstream, "slots": slots})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/upstream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(ctx, address, req)
	if err == nil && res.Status >= 300 {
		return statusError(res.Status, res.Body)
	}
	return err
}
