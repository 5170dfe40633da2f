// Package idempotency keeps the table of claims of calls with an Idempotency-Key.
// Each claim is recorded on two nodes before its call runs, so that a repeat of
// the call is never executed again while one of them lives.
package idempotency

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/plugin/peer"
)

var (
	evCopied   = event.Declare(850, zerolog.DebugLevel, "claims copied to their new holders")
	evUncopied = event.Declare(851, zerolog.WarnLevel, "claims could not be copied to a new holder")
	evUnsent   = event.Declare(852, zerolog.WarnLevel, "answer was not copied to the other holder of its claim")
)

// Idempotency is the plug-in.
type Idempotency struct {
	c      *kernel.Context
	s      *Settings
	view   api.View
	peer   *peer.Peer
	client *httpcall.Client
	pool   *pool.Pool
	// boot differs between the lives of the process: a restarted one has lost its
	// table and is no authority on its former claims.
	boot   uint64
	sent   *metrics.Counter
	repeat *metrics.Counter
	// started is set once client and pool can be used by other goroutines: the view
	// may change before Start.
	started atomic.Bool

	// mu guards the table, the other holders of the own claims and joined.
	mu   *rank.Mutex
	sets map[string]*resource.EndpointSet
	// services names those of which this node has held claims.
	services map[string]bool
	seq      uint64
	claims   *claims
	// other names the nodes that were asked to record an own claim, the backup first.
	other map[string][]httpcall.Target
	// joined tells by service since when the own endpoint is ready.
	joined map[string]joining
}

func newIdempotency(c *kernel.Context) *Idempotency {
	s := c.Settings.(*Settings)
	p := &Idempotency{
		c: c, s: s, view: kernel.Use[api.View](c, "view"), peer: kernel.Use[*peer.Peer](c, "peer"),
		boot: rand.Uint64(), mu: rank.New(rank.Idempotency), claims: newClaims(s.Claims, s.AnswerBytes),
		other: map[string][]httpcall.Target{}, services: map[string]bool{}, joined: map[string]joining{},
		sent: c.Metrics.NewCounter("celeryyard_claim_messages_total"), repeat: c.Metrics.NewCounter("celeryyard_claim_repeats_total"),
	}
	p.view.Watch(p.changed)
	c.Metrics.NewGauge("celeryyard_claims", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(len(p.claims.records))
	})
	return p
}

// Start implements kernel.Plugin.
func (p *Idempotency) Start(context.Context) error {
	p.client = httpcall.NewClient(httpcall.ClientOptions{
		Authenticate: true, Key: p.peer.Key(), Rank: rank.Idempotency, DialTimeout: p.s.MessageTimeout.D(),
	})
	p.pool = pool.New(pool.Options{
		Workers: p.s.Workers, Queue: pool.NewKeyedFIFO(p.s.Queue),
		OnPanic: func(v any, stack []byte) { p.c.Fail(errors.Newf("job panicked: %v\n%s", v, stack)) },
	})
	p.started.Store(true)
	p.c.Every("idempotency/expire", time.Minute, func() {
		p.mu.Lock()
		p.claims.expire(time.Now())
		p.forget()
		p.mu.Unlock()
		p.client.CloseIdle(func(string) bool { return false })
	})
	return nil
}

// Stop implements kernel.Plugin.
func (p *Idempotency) Stop(ctx context.Context) error {
	if p.pool == nil {
		return nil
	}
	err := p.pool.Stop(ctx)
	p.client.Close()
	return err
}

// forget removes the holders of expired claims.
func (p *Idempotency) forget() {
	for id := range p.other {
		if p.claims.records[id] == nil {
			delete(p.other, id)
		}
	}
}

// Claim is a call that asks to run.
type Claim struct {
	ID, Hash string
	// Backup is the other holder; its address is empty when there is none.
	Backup   httpcall.Target
	Deadline time.Time
}

// Begin records the claim here and at the backup. With ResultNew the call may run
// and Finish or Release must follow. With ResultKnown the record tells what is
// known; the call must not run. An error means that nothing ran: a holder could
// not record the claim. Begin blocks for at most the message timeout.
func (p *Idempotency) Begin(ctx context.Context, c Claim) (Result, *Record, error) {
	now := time.Now()
	rec := &Record{ID: c.ID, Hash: c.Hash, State: StateRunning, Primary: p.c.Instance.Name, Boot: p.boot}
	ttl := p.s.Keep.D() + c.Deadline.Sub(now)
	p.mu.Lock()
	p.seq++
	rec.Seq = p.seq
	p.services[serviceOf(c.ID)] = true
	result, known := p.claims.claimOwn(rec, now, ttl)
	if result == ResultNew {
		delete(p.other, c.ID)
	}
	recent := p.recent(serviceOf(c.ID), now)
	p.mu.Unlock()
	if result != ResultNew {
		if result == ResultKnown {
			p.repeat.Inc()
			known = p.told(known)
		}
		return result, known, nil
	}
	limit := now.Add(p.s.MessageTimeout.D())
	if c.Deadline.Before(limit) {
		limit = c.Deadline
	}
	rec.TTL = ttl.Milliseconds()
	asked := []string{p.c.Instance.Name}
	if c.Backup.Address != "" {
		answer, err := p.ask(ctx, c.Backup, rec, limit)
		if err != nil {
			p.Release(rec.ID)
			return "", nil, errors.Wrap(err, "claim at the backup")
		}
		if answer.Result != ResultNew {
			return p.refused(rec, answer)
		}
		recent = recent && answer.Recent
		asked = append(asked, c.Backup.Node)
	}
	if !recent {
		return ResultNew, nil, nil
	}
	return p.askEarlier(ctx, rec, asked, limit)
}

// told is what a caller is told of a known claim: a call that another process was
// running may have run.
func (p *Idempotency) told(r *Record) *Record {
	if r.State != StateRunning || r.Primary == p.c.Instance.Name && r.Boot == p.boot {
		return r
	}
	n := *r
	n.State = StateUnknown
	return &n
}

// adopt replaces the own fresh claim by what the backup knows. A call that another
// process was running may have run.
func (p *Idempotency) adopt(r *Record) *Record {
	s := r.State
	if s == StateRunning {
		s = StateUnknown
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims.finish(r.ID, s, r.Reply, time.Now(), p.s.Keep.D())
}

// Knows reports whether this node holds the claim.
func (p *Idempotency) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims.records[id] != nil
}

// Finish records the outcome of a call that may have run and copies it to all other
// nodes that recorded its claim without waiting for them.
func (p *Idempotency) Finish(id string, s State, a *Answer) {
	p.mu.Lock()
	r := p.claims.finish(id, s, a, time.Now(), p.s.Keep.D())
	other := p.other[id]
	p.mu.Unlock()
	if r == nil || s == StateUnknown {
		return
	}
	out := *r
	out.TTL = p.s.Keep.D().Milliseconds()
	for _, to := range p.holdersOf(id, other) {
		p.later(to, &message{Op: opMerge, Records: []Record{out}})
	}
}

// Release forgets a claim whose call did not run, here and at the other holders.
func (p *Idempotency) Release(id string) {
	p.mu.Lock()
	r, other := p.claims.records[id], p.other[id]
	if r != nil {
		p.claims.release(r)
		delete(p.other, id)
	}
	p.mu.Unlock()
	if r == nil {
		return
	}
	for _, to := range other {
		p.later(to, &message{Op: opRelease, Records: []Record{*r}})
	}
}

// later sends a message by a worker. Messages of one claim keep their order.
func (p *Idempotency) later(to httpcall.Target, m *message) {
	err := p.pool.TrySubmit(&pool.Job{Key: m.Records[0].ID, Run: func() {
		if _, err := p.send(context.Background(), to, m, time.Now().Add(p.s.MessageTimeout.D())); err != nil {
			p.c.Log.Log(evUnsent).Str("holder", to.Node).Err(err).Send()
		}
	}})
	if err != nil {
		p.c.Log.Log(evUnsent).Str("holder", to.Node).Err(err).Send()
	}
}

// receive applies a message of another holder.
func (p *Idempotency) receive(m *message, now time.Time) *reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &m.Records[0]
	switch m.Op {
	case opClaim:
		p.services[serviceOf(r.ID)] = true
		result, rec := p.claims.claim(r, now, time.Duration(r.TTL)*time.Millisecond)
		if result != ResultKnown {
			rec = nil
		}
		return &reply{Result: result, Record: rec, Recent: p.recent(serviceOf(r.ID), now)}
	case opRelease:
		p.claims.release(r)
		return &reply{Result: ResultNew}
	}
	for i := range m.Records {
		r := &m.Records[i]
		p.services[serviceOf(r.ID)] = true
		if !p.claims.merge(r, now, time.Duration(r.TTL)*time.Millisecond) {
			return &reply{Result: ResultFull}
		}
	}
	return &reply{Result: ResultNew}
}
