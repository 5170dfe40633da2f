package standin

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
)

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// upstream is the body of PUT /v1/upstream.
type upstream struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	HealthPath string `json:"health_path"`
}

// announce tells the node of the stand-in each interval until ctx ends. It is
// an I/O goroutine of its own, because it waits for the node's answers.
func (p *Standin) announce(ctx context.Context) {
	defer p.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	taken := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		// An announcement is not cancelled: the node could take it after the
		// withdrawal that follows.
		err := p.tell(context.Background(), http.MethodPut, announceTimeout)
		switch {
		case err != nil:
			p.c.Log.Log(evNotTaken).Str("node", p.s.Node).Err(err).Send()
		case !taken:
			p.c.Log.Log(evAnnounced).Str("node", p.s.Node).Send()
		}
		taken = err == nil
		timer.Reset(p.s.AnnounceInterval.D())
	}
}

// withdraw runs the planned stop at the node and waits until it is finished.
func (p *Standin) withdraw(ctx context.Context) {
	if err := p.tell(ctx, http.MethodDelete, p.c.Instance.StopTimeout.D()); err != nil {
		p.c.Log.Log(evLeaveFailed).Str("node", p.s.Node).Err(err).Send()
		return
	}
	p.c.Log.Log(evLeft).Str("node", p.s.Node).Send()
}

func (p *Standin) tell(ctx context.Context, method string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(upstream{Service: p.s.Service, Address: p.s.Listen, Slots: p.s.Slots, HealthPath: "/healthz"})
	if err != nil {
		return err
	}
	if method == http.MethodDelete {
		body = nil
	}
	req, err := http.NewRequest(method, "http://"+p.s.Node+"/v1/upstream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := p.client.Do(ctx, p.s.Node, req)
	if err != nil {
		return err
	}
	if res.Status < 200 || res.Status > 299 {
		return errors.Newf("node answers %d: %s", res.Status, bytes.TrimSpace(res.Body[:min(len(res.Body), 200)]))
	}
	return nil
}
