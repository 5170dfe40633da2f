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

// changeTeam revises the team of a service with the current timeout.
func (f *fleet) changeTeam(service string) (resource.Version, error) {
	for _, s := range f.plan.Spec.Services {
		if s.Name == service {
			err := f.ops.revise(f.e, s.Organisation, "team", s.Name, layout.Team(s, f.timeouts, nil))
			return f.ops.version, err
		}
	}
	return 0, nil
}

// churn announces other slots of one upstream after another until ctx ends, and
// returns how many announcements were taken. first is called after the first one.
func (f *fleet) churn(ctx context.Context, perSecond int, first func()) int {
	client := httponce.New(1)
	defer client.Close()
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	taken := 0
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return taken
		case <-tick.C:
		}
		if f.announce(ctx, client, i%len(f.nodes), 9+i/len(f.nodes)%2) == nil {
			if taken++; taken == 1 {
				first()
			}
		}
	}
}

// announce tells a node of an upstream with the given slots.
func (f *fleet) announce(ctx context.Context, client *httponce.Client, node, slots int) error {
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
		return errStatus(res.Status, res.Body)
	}
	return err
}
