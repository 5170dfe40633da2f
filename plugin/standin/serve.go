package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/plugin/standin/answer"
)

// loadHeader is the published header in which upstreams report their load (ORCA).
const loadHeader = "endpoint-load-metrics"

// maxRequestBody bounds the body of a call.
const maxRequestBody = 4 << 20

// maxHang bounds how long a call that is never answered holds its slot.
const maxHang = time.Minute

// errLate means that the caller gave up before the call held a slot.
var errLate = errors.New("caller is gone")

// call is one request on its way through the slots.
type call struct {
	id    string
	bytes int
	depth int
	// direct makes the chain go without nodes.
	direct bool
	fault  Fault
	// status and err are the outcome.
	status int
	err    error
}

func (p *Standin) serveCall(e echo.Context) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(e.Request().Body, maxRequestBody)); err != nil {
		return e.String(http.StatusBadRequest, "request body ended early\n")
	}
	c, err := p.parse(e.Request())
	if err != nil {
		return e.String(http.StatusBadRequest, err.Error()+"\n")
	}
	if n := p.inFlight.Add(1); c.fault.Shed || n > int64(p.s.Slots+p.s.Queue) {
		p.inFlight.Add(-1)
		p.shed.Inc()
		return e.String(http.StatusServiceUnavailable, "shedding load\n")
	}
	defer p.inFlight.Add(-1)
	done := make(chan struct{})
	ctx := e.Request().Context()
	err = p.slots.TrySubmit(&pool.Job{
		Run:     func() { defer close(done); p.execute(ctx, c) },
		Abandon: func(err error) { defer close(done); c.err = err },
	})
	if err != nil {
		p.shed.Inc()
		return e.String(http.StatusServiceUnavailable, "shedding load\n")
	}
	<-done
	return p.reply(e, c)
}

func (p *Standin) parse(r *http.Request) (*call, error) {
	c := &call{id: r.Header.Get(answer.HeaderID), bytes: p.s.AnswerBytes, status: http.StatusOK,
		direct: r.Header.Get(answer.HeaderDirect) != ""}
	var err error
	if v := r.Header.Get(answer.HeaderBytes); v != "" {
		if c.bytes, err = strconv.Atoi(v); err != nil || c.bytes < 0 || c.bytes > answer.MaxBytes {
			return nil, errors.Newf("%s %q is outside 0..%d", answer.HeaderBytes, v, answer.MaxBytes)
		}
	}
	if v := r.Header.Get(answer.HeaderDepth); v != "" {
		if c.depth, err = strconv.Atoi(v); err != nil || c.depth < 0 || c.depth > answer.MaxDepth {
			return nil, errors.Newf("%s %q is outside 0..%d", answer.HeaderDepth, v, answer.MaxDepth)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.fault, err = chooseFault(r.Header.Get(answer.HeaderFault), p.s.Faults, p.rng)
	return c, err
}

// execute runs on a worker of the slots. From its first line on the call counts
// as executed, whatever happens afterwards.
func (p *Standin) execute(ctx context.Context, c *call) {
	if ctx.Err() != nil {
		c.err = errLate
		return
	}
	age := p.c.Clock.Now().Sub(p.started)
	p.mu.Lock()
	if c.id != "" {
		p.runs.add(c.id)
	}
	d := p.s.ServiceTime.Draw(p.rng)
	p.mu.Unlock()
	p.executed.Inc()
	d = time.Duration(float64(d)*p.s.ColdStart.Slowdown(age)) + c.fault.Delay
	if c.fault.Hang {
		d = maxHang
	}
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			c.err = ctx.Err()
			return
		}
	}
	if c.depth > 0 {
		c.err = p.next(ctx, c)
	}
	if c.fault.Status != 0 {
		c.status = c.fault.Status
	}
}

// next calls the next service of the chain through the node beside the stand-in.
func (p *Standin) next(ctx context.Context, c *call) error {
	to := p.s.Chain.Node
	if c.direct {
		to = p.s.Chain.Direct
	}
	if to == "" {
		return errors.New("the settings of the chain name no next process")
	}
	ctx, cancel := context.WithTimeout(ctx, p.s.Chain.Timeout.D())
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.s.Chain.Host+p.s.Chain.Path, nil)
	if err != nil {
		return err
	}
	first, _, _ := strings.Cut(c.id, "~")
	id := answer.ChainID(first, c.depth)
	req.Header.Set(answer.HeaderID, id)
	req.Header.Set(answer.HeaderBytes, strconv.Itoa(c.bytes))
	req.Header.Set(answer.HeaderDepth, strconv.Itoa(c.depth-1))
	if c.direct {
		req.Header.Set(answer.HeaderDirect, "1")
	}
	res, err := p.client.Do(ctx, to, req)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return errors.Newf("next call at depth %d is answered %d", c.depth, res.Status)
	}
	return answer.Check(id, c.bytes, res.Body)
}

func (p *Standin) reply(e echo.Context, c *call) error {
	h := e.Response().Header()
	h.Set(answer.HeaderID, c.id)
	h.Set(answer.HeaderUpstream, p.c.Instance.Name)
	if p.s.Load.Header {
		h.Set(loadHeader, fmt.Sprintf(`JSON {"application_utilization": %.3f}`, p.utilisation()))
	}
	switch {
	case c.fault.Hang || errors.Is(c.err, errLate) || errors.Is(c.err, context.Canceled):
		panic(http.ErrAbortHandler)
	case errors.Is(c.err, pool.ErrClosed):
		return e.String(http.StatusServiceUnavailable, "stopping\n")
	case c.err != nil:
		return e.String(http.StatusBadGateway, c.err.Error()+"\n")
	}
	body := answer.Body(c.id, c.bytes)
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	if !c.fault.Cut || c.fault.CutAfter >= len(body) {
		return e.Blob(c.status, "text/plain", body)
	}
	// The announced length makes the missing bytes visible to the receiver.
	e.Response().WriteHeader(c.status)
	_, _ = e.Response().Write(body[:max(c.fault.CutAfter, 0)])
	e.Response().Flush()
	panic(http.ErrAbortHandler)
}
