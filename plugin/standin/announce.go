package standin

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
)

// announceRequestTimeout bounds one announcement request.
const announceRequestTimeout = 2 * time.Second

// announcement is the body of PUT /v1/upstream.
type announcement struct {
	Service string `json:"service"`
	// Address is the IP:port at which the node reaches the stand-in.
	Address string `json:"address"`
	// Slots is the maximum number of calls that the stand-in executes at the same time.
	Slots      int    `json:"slots"`
	HealthPath string `json:"health_path"`
}

// announceLoop announces the stand-in to its node, with a pause of AnnounceInterval between two
// announcements, until ctx is done. It runs on a goroutine of its own, because it waits for the
// node's answers.
func (p *Standin) announceLoop(ctx context.Context) {
	defer p.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	accepted := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		// Don't cancel an announcement when ctx is done: the node might still process it, after the
		// withdrawal that Stop sends next.
		err := p.callNode(context.Background(), http.MethodPut, announceRequestTimeout)
		switch {
		case err != nil:
			p.c.Log.Log(evAnnounceFailed).Str("node", p.s.Node).Err(err).Send()
		case !accepted:
			p.c.Log.Log(evAnnounced).Str("node", p.s.Node).Send()
		}
		accepted = err == nil
		timer.Reset(p.s.AnnounceInterval.AsDuration())
	}
}

// withdraw withdraws the stand-in from its node and waits for the node's answer, which the node
// sends when no call to the stand-in is in flight.
func (p *Standin) withdraw(ctx context.Context) {
	if err := p.callNode(ctx, http.MethodDelete, p.c.Instance.StopTimeout.AsDuration()); err != nil {
		p.c.Log.Log(evWithdrawFailed).Str("node", p.s.Node).Err(err).Send()
		return
	}
	p.c.Log.Log(evWithdrawn).Str("node", p.s.Node).Send()
}

// callNode sends an announcement (PUT) or a withdrawal (DELETE) to the node.
func (p *Standin) callNode(ctx context.Context, method string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(announcement{Service: p.s.Service, Address: p.s.Listen, Slots: p.s.Slots, HealthPath: "/healthz"})
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
		return errors.Newf("node answered with status %d: %s", res.Status, bytes.TrimSpace(res.Body[:min(len(res.Body), 200)]))
	}
	return nil
}
