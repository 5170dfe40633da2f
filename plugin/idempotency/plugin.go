// Package idempotency keeps the table of claims of calls with an Idempotency-Key.
// Each claim is recorded on two nodes before its call runs. As long as one of these
// nodes is up, a call that is repeated with the same key is not executed again.
package idempotency

import (
	"context"
	"math/rand/v2"
	"slices"
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
	evCopied         = event.Declare(850, zerolog.DebugLevel, "claims copied to their new holders")
	evCopyFailed     = event.Declare(851, zerolog.WarnLevel, "claims could not be copied to a new holder")
	evAdopted        = event.Declare(853, zerolog.InfoLevel, "claim of an earlier call learned from another holder")
	evFreed          = event.Declare(854, zerolog.InfoLevel, "claim whose primary has released it is free again")
	evMessageNotSent = event.Declare(852, zerolog.WarnLevel, "outcome or release of a claim could not be sent to another holder")
)

// Idempotency is the plug-in that decides whether a call with an Idempotency-Key may run.
type Idempotency struct {
	c      *kernel.Context
	s      *Settings
	view   api.View
	peer   *peer.Peer
	client *httpcall.Client
	pool   *pool.Pool
	// post sends a message to another node and returns its answer; submit queues a background job. They are
	// fields so that the decisions can be explored without a network.
	post   func(ctx context.Context, target httpcall.Target, m *message, deadline time.Time) (*reply, error)
	submit func(*pool.Job) error
	// boot is a random number that identifies the run of the process. A restarted process has lost
	// its table, so that earlier claims of the same node name are not its own.
	boot         uint64
	messagesSent *metrics.Counter
	// repeats counts the calls whose key had already been claimed.
	repeats *metrics.Counter
	// started is set once client and pool are ready. Until then handleSnapshot, which the view may
	// call before Start, must not use them.
	started atomic.Bool

	// mu guards the fields below.
	mu *rank.Mutex
	// sets holds the endpoint sets of the last snapshot, by service.
	sets map[string]*resource.EndpointSet
	// claimedServices contains the services of which this node has held claims.
	claimedServices map[string]bool
	// seq is the Seq of this node's last claim.
	seq    uint64
	claims *claimTable
	// replicas holds, by the ID of a claim of this node, the other nodes that were asked to record
	// the claim, the backup first.
	replicas map[string][]httpcall.Target
	// joinStates holds, by service, when this node's endpoint became ready.
	joinStates map[string]joinState
}

func newIdempotency(c *kernel.Context) *Idempotency {
	s := c.Settings.(*Settings)
	p := &Idempotency{
		c: c, s: s, view: kernel.MustFind[api.View](c, "view"), peer: kernel.MustFind[*peer.Peer](c, "peer"),
		boot: rand.Uint64(), mu: rank.NewMutex(rank.Idempotency), claims: newClaimTable(s.Claims, s.AnswerBytes),
		replicas: map[string][]httpcall.Target{}, claimedServices: map[string]bool{}, joinStates: map[string]joinState{},
		messagesSent: c.Metrics.NewCounter("celeryyard_claim_messages_total"), repeats: c.Metrics.NewCounter("celeryyard_claim_repeats_total"),
	}
	p.post, p.submit = p.postHTTP, func(j *pool.Job) error { return p.pool.TrySubmit(j) }
	p.view.Watch(p.handleSnapshot)
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
		Authenticate: true, Key: p.peer.Key(), Rank: rank.Idempotency, DialTimeout: p.s.MessageTimeout.AsDuration(),
	})
	p.pool = pool.New(pool.Options{
		Workers: p.s.Workers, Queue: pool.NewKeyedFIFO(p.s.Queue),
		OnPanic: func(v any, stack []byte) { p.c.Fail(errors.Newf("job panicked: %v\n%s", v, stack)) },
	})
	p.started.Store(true)
	p.c.RunEvery("idempotency/expire", time.Minute, func() {
		p.mu.Lock()
		p.claims.expire(time.Now())
		p.pruneReplicas()
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

// Claim is the request to run a call with an Idempotency-Key. ID is the result of httpcall.ClaimID,
// and Hash is computed as for Record.Hash.
type Claim struct {
	ID, Hash string
	// Backup is the backup holder; its address is empty if there is none.
	Backup httpcall.Target
	// Deadline is the deadline of the call. The claim is kept at least until then.
	Deadline time.Time
}

// Begin records the claim here and at the backup. With ResultNew the call may run, and the caller
// must call Finish or Release afterwards. With ResultKnown the call must not run, and the returned
// record holds the known state of the earlier call. With any other result the call must not run
// either. An error means that another holder could not be reached or gave no valid answer; the
// claim is then released, and the call must not run. Begin blocks for at most MessageTimeout.
func (p *Idempotency) Begin(ctx context.Context, c Claim) (Result, *Record, error) {
	now := time.Now()
	deadline := earliest(now.Add(p.s.MessageTimeout.AsDuration()), c.Deadline)
	rec := &Record{ID: c.ID, Hash: c.Hash, State: StateRunning, Primary: p.c.Instance.Name, Boot: p.boot}
	for resolved := 0; ; resolved++ {
		result, known, err := p.tryClaim(ctx, c, rec, deadline)
		if err != nil || result != ResultKnown {
			return result, nil, err
		}
		state := p.recordForCaller(known.record)
		if resolved < maxResolutions && p.isRunningElsewhere(known.record) {
			current, err := p.resolve(ctx, known, deadline)
			if err != nil {
				return "", nil, err
			}
			if current == nil {
				continue // the earlier call has not run and will not run
			}
			state = current
		}
		p.repeats.Inc()
		return ResultKnown, state, nil
	}
}

// tryClaim records the claim here and at the other holders. rec gets a new Seq.
func (p *Idempotency) tryClaim(ctx context.Context, c Claim, rec *Record, deadline time.Time) (Result, knownClaim, error) {
	now := time.Now()
	ttl := p.s.Keep.AsDuration() + c.Deadline.Sub(now)
	p.mu.Lock()
	p.seq++
	rec.Seq, rec.TTL = p.seq, 0
	p.claimedServices[serviceOf(c.ID)] = true
	result, known := p.claims.claimOwn(rec, now, ttl)
	if result == ResultNew {
		delete(p.replicas, c.ID)
	}
	recent := p.hasJoinedRecently(serviceOf(c.ID), now)
	p.mu.Unlock()
	if result != ResultNew {
		return result, knownClaim{record: known}, nil
	}
	rec.TTL = ttl.Milliseconds()
	asked := []string{p.c.Instance.Name}
	if c.Backup.Address != "" {
		answer, err := p.claimAt(ctx, c.Backup, rec, deadline)
		if err != nil {
			p.Release(rec.ID)
			return "", knownClaim{}, errors.Wrap(err, "record claim at the backup")
		}
		if answer.Result != ResultNew {
			return p.handleRefusal(rec, c.Backup, answer)
		}
		recent = recent && answer.Recent
		asked = append(asked, c.Backup.Node)
	}
	if !recent {
		return ResultNew, knownClaim{}, nil
	}
	return p.claimAtEarlierHolders(ctx, rec, asked, deadline)
}

// pruneReplicas removes the replicas of claims that have expired. The caller holds mu.
func (p *Idempotency) pruneReplicas() {
	for id := range p.replicas {
		if p.claims.records[id] == nil {
			delete(p.replicas, id)
		}
	}
}

// HasClaim reports whether this node has a record of the claim.
func (p *Idempotency) HasClaim(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claims.records[id] != nil
}

// Finish records the outcome of a call that may have run. It copies the outcome to the other
// holders of the claim without waiting for them. StateUnknown is not copied, since holders treat a
// running call of another process as unknown anyway.
func (p *Idempotency) Finish(id string, s State, a *Answer) {
	p.mu.Lock()
	r := p.claims.finish(id, s, a, time.Now(), p.s.Keep.AsDuration())
	replicas := p.replicas[id]
	p.mu.Unlock()
	if r == nil || s == StateUnknown {
		return
	}
	out := *r
	out.TTL = p.s.Keep.AsDuration().Milliseconds()
	for _, target := range p.outcomeTargets(id, replicas) {
		p.sendAsync(target, &message{Op: opMerge, Records: []Record{out}})
	}
}

// Release removes the claim of a call that did not run, here and at the other holders, which may have got a
// copy of it.
func (p *Idempotency) Release(id string) {
	p.mu.Lock()
	r, replicas := p.claims.records[id], p.replicas[id]
	if r != nil {
		p.claims.release(r)
		delete(p.replicas, id)
	}
	p.mu.Unlock()
	if r == nil {
		return
	}
	targets := slices.Clone(replicas)
	for _, target := range p.outcomeTargets(id, replicas) {
		if !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	for _, target := range targets {
		p.sendAsync(target, &message{Op: opRelease, Records: []Record{*r}})
	}
}

// sendAsync queues a message for the workers. The messages of a claim keep their order.
func (p *Idempotency) sendAsync(target httpcall.Target, m *message) {
	err := p.submit(&pool.Job{Key: m.Records[0].ID, Run: func() {
		if _, err := p.send(context.Background(), target, m, time.Now().Add(p.s.MessageTimeout.AsDuration())); err != nil {
			p.c.Log.Log(evMessageNotSent).Str("holder", target.Node).Err(err).Send()
		}
	}})
	if err != nil {
		p.c.Log.Log(evMessageNotSent).Str("holder", target.Node).Err(err).Send()
	}
}

// handleMessage applies a message of another holder and returns the reply.
func (p *Idempotency) handleMessage(m *message, now time.Time) *reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &m.Records[0]
	switch m.Op {
	case opClaim:
		p.claimedServices[serviceOf(r.ID)] = true
		result, rec := p.claims.claim(r, now, time.Duration(r.TTL)*time.Millisecond)
		if result != ResultKnown {
			rec = nil
		}
		return &reply{Result: result, Record: rec, Recent: p.hasJoinedRecently(serviceOf(r.ID), now)}
	case opRelease:
		p.claims.release(r)
		return &reply{Result: ResultNew}
	case opStatus:
		return p.statusOf(r, now)
	}
	for i := range m.Records {
		r := &m.Records[i]
		p.claimedServices[serviceOf(r.ID)] = true
		if r.State == StateRunning && r.Primary == p.c.Instance.Name && r.Boot == p.boot {
			continue // this process knows its own claims, and has released one that it does not hold
		}
		if !p.claims.merge(r, now, time.Duration(r.TTL)*time.Millisecond) {
			return &reply{Result: ResultFull}
		}
	}
	return &reply{Result: ResultNew}
}
