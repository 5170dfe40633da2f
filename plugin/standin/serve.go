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

// loadHeader is the response header in which upstreams report their load (Open Request Cost
// Aggregation, ORCA).
const loadHeader = "endpoint-load-metrics"

// maxRequestBytes is the maximum number of bytes of a call's body that are read; the rest is ignored.
const maxRequestBytes = 4 << 20

// maxHangTime is the maximum time for which a call with the fault "hang" holds its slot. When it has
// passed, the connection is closed without an answer.
const maxHangTime = time.Minute

// errCallerGone is the outcome of a call whose caller gave up while the call waited for a slot.
var errCallerGone = errors.New("caller gave up before the call held a slot")

// call is one request that waits for a slot or holds one.
type call struct {
	id string
	// answerBytes is the size of the answer's body.
	answerBytes int
	// depth is the number of further calls to chain behind this one.
	depth int
	// direct makes the stand-ins of the chain call each other without nodes.
	direct bool
	fault  Fault
	// status and err are the outcome of the execution.
	status int
	err    error
}

func (p *Standin) serveCall(e echo.Context) error {
	if _, err := io.Copy(io.Discard, io.LimitReader(e.Request().Body, maxRequestBytes)); err != nil {
		return e.String(http.StatusBadRequest, "request body ended early\n")
	}
	c, err := p.parseCall(e.Request())
	if err != nil {
		return e.String(http.StatusBadRequest, err.Error()+"\n")
	}
	if n := p.callsInFlight.Add(1); c.fault.Shed || n > int64(p.s.Slots+p.s.Queue) {
		p.callsInFlight.Add(-1)
		p.shed.Inc()
		return e.String(http.StatusServiceUnavailable, "shedding load\n")
	}
	defer p.callsInFlight.Add(-1)
	done := make(chan struct{})
	ctx := e.Request().Context()
	err = p.slotPool.TrySubmit(&pool.Job{
		Run:     func() { defer close(done); p.execute(ctx, c) },
		Abandon: func(err error) { defer close(done); c.err = err },
	})
	if err != nil {
		p.shed.Inc()
		return e.String(http.StatusServiceUnavailable, "shedding load\n")
	}
	<-done
	return p.writeAnswer(e, c)
}

func (p *Standin) parseCall(r *http.Request) (*call, error) {
	c := &call{id: r.Header.Get(answer.HeaderID), answerBytes: p.s.AnswerBytes, status: http.StatusOK,
		direct: r.Header.Get(answer.HeaderDirect) != ""}
	var err error
	if v := r.Header.Get(answer.HeaderBytes); v != "" {
		if c.answerBytes, err = strconv.Atoi(v); err != nil || c.answerBytes < 0 || c.answerBytes > answer.MaxBytes {
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

// execute executes a call on a worker of slotPool. Unless the caller has already given up, the call
// counts as executed, even if it fails or is interrupted later.
func (p *Standin) execute(ctx context.Context, c *call) {
	if ctx.Err() != nil {
		c.err = errCallerGone
		return
	}
	age := p.c.Clock.Now().Sub(p.started)
	p.mu.Lock()
	if c.id != "" {
		p.executions.add(c.id)
	}
	d := p.s.ServiceTime.Draw(p.rng)
	p.mu.Unlock()
	p.executed.Inc()
	d = time.Duration(float64(d)*p.s.ColdStart.Slowdown(age)) + c.fault.Delay
	if c.fault.Hang {
		d = maxHangTime
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
		c.err = p.callNext(ctx, c)
	}
	if c.fault.Status != 0 {
		c.status = c.fault.Status
	}
}

// callNext makes the next call of the chain, through the stand-in's node or, if c.direct is set,
// directly to the next stand-in.
func (p *Standin) callNext(ctx context.Context, c *call) error {
	address := p.s.Chain.Node
	if c.direct {
		address = p.s.Chain.Direct
	}
	if address == "" {
		return errors.New("settings name no address for the next call of the chain")
	}
	ctx, cancel := context.WithTimeout(ctx, p.s.Chain.Timeout.AsDuration())
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.s.Chain.Host+p.s.Chain.Path, nil)
	if err != nil {
		return err
	}
	firstID, _, _ := strings.Cut(c.id, "~")
	id := answer.ChainID(firstID, c.depth)
	req.Header.Set(answer.HeaderID, id)
	req.Header.Set(answer.HeaderBytes, strconv.Itoa(c.answerBytes))
	req.Header.Set(answer.HeaderDepth, strconv.Itoa(c.depth-1))
	if c.direct {
		req.Header.Set(answer.HeaderDirect, "1")
	}
	res, err := p.client.Do(ctx, address, req)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return errors.Newf("next call at depth %d was answered with status %d", c.depth, res.Status)
	}
	return answer.Check(id, c.answerBytes, res.Body)
}

func (p *Standin) writeAnswer(e echo.Context, c *call) error {
	h := e.Response().Header()
	h.Set(answer.HeaderID, c.id)
	h.Set(answer.HeaderUpstream, p.c.Instance.Name)
	if p.s.Load.Header {
		h.Set(loadHeader, fmt.Sprintf(`JSON {"application_utilization": %.3f}`, p.utilisation()))
	}
	switch {
	case c.fault.Hang || errors.Is(c.err, errCallerGone) || errors.Is(c.err, context.Canceled):
		panic(http.ErrAbortHandler)
	case errors.Is(c.err, pool.ErrClosed):
		return e.String(http.StatusServiceUnavailable, "stopping\n")
	case c.err != nil:
		return e.String(http.StatusBadGateway, c.err.Error()+"\n")
	}
	body := answer.Body(c.id, c.answerBytes)
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	if !c.fault.Cut || c.fault.CutAfter >= len(body) {
		return e.Blob(c.status, "text/plain", body)
	}
	// The receiver detects the missing bytes by the Content-Length.
	e.Response().WriteHeader(c.status)
	_, _ = e.Response().Write(body[:max(c.fault.CutAfter, 0)])
	e.Response().Flush()
	panic(http.ErrAbortHandler)
}
