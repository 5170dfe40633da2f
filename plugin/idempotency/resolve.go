package idempotency

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// A claim is decided by its primary: only the process that made it can run its call, and it releases the claim if it does
// not. A copy of the claim at another holder may outlive that, because the release was lost, or was sent to the holders of
// an earlier endpoint set. So a new primary that finds a running claim of another process asks that process.

// maxResolutions bounds how often one call asks for the claims that it finds: one at this node, one at the backup and one
// at an earlier holder.
const maxResolutions = 3

// knownClaim is a claim that keeps a call from running.
type knownClaim struct {
	record *Record
	// holder is the node that has the record; zero if this one has.
	holder httpcall.Target
}

// handleRefusal handles the answer of a holder that did not record the claim rec of this node. If the
// holder knows the claim, this node adopts the holder's record; otherwise this node releases its claim.
func (p *Idempotency) handleRefusal(rec *Record, holder httpcall.Target, answer *reply) (Result, knownClaim, error) {
	if answer.Result != ResultKnown {
		p.Release(rec.ID)
		return answer.Result, knownClaim{}, nil
	}
	r := answer.Record
	p.c.Log.Log(evAdopted).Str("claim", rec.ID).Str("state", string(r.State)).Str("primary", r.Primary).Uint("seq", r.Seq).Uint("own_seq", rec.Seq).Send()
	p.mu.Lock()
	defer p.mu.Unlock()
	return ResultKnown, knownClaim{p.claims.adopt(rec, r, time.Now(), p.s.Keep.AsDuration()), holder}, nil
}

// isRunningElsewhere reports whether the record is that of a call which was running in another process.
func (p *Idempotency) isRunningElsewhere(r *Record) bool {
	return r.State == StateRunning && (r.Primary != p.c.Instance.Name || r.Boot != p.boot)
}

// recordForCaller returns the record of a known claim with the state that the caller is to see. A
// call that was running in another process is reported as StateUnknown, because it may have run.
func (p *Idempotency) recordForCaller(r *Record) *Record {
	if !p.isRunningElsewhere(r) {
		return r
	}
	n := *r
	n.State = StateUnknown
	return &n
}

// resolve asks the primary of a running claim for its state and returns the record that the caller is to see. It returns nil if
// the primary has released the claim, so that its call has not run and will not run; the copies that are known are then
// released as well. If the primary cannot be asked, the state is StateUnknown. An error means that a copy could not be released.
func (p *Idempotency) resolve(ctx context.Context, known knownClaim, deadline time.Time) (*Record, error) {
	r := known.record
	primary, ok := p.targetOf(r)
	if !ok {
		return p.recordForCaller(r), nil
	}
	answer, err := p.send(ctx, primary, &message{Op: opStatus, Records: []Record{*r}}, deadline)
	if err != nil {
		p.c.Log.Log(evMessageNotSent).Str("holder", primary.Node).Err(err).Send()
		return p.recordForCaller(r), nil
	}
	if answer.Result == ResultKnown {
		p.mu.Lock()
		p.claims.merge(answer.Record, time.Now(), p.s.Keep.AsDuration())
		p.mu.Unlock()
		return answer.Record, nil
	}
	p.mu.Lock()
	p.claims.release(r)
	p.mu.Unlock()
	p.c.Log.Log(evFreed).Str("claim", r.ID).Str("primary", r.Primary).Uint("seq", r.Seq).Send()
	if known.holder.Address == "" || known.holder == primary {
		return nil, nil
	}
	_, err = p.send(ctx, known.holder, &message{Op: opRelease, Records: []Record{*r}}, deadline)
	return nil, errors.Wrapf(err, "release claim at the holder %s", known.holder.Node)
}

// targetOf returns the node that made the claim; ok is false if it is this one or no endpoint of the service.
func (p *Idempotency) targetOf(r *Record) (t httpcall.Target, ok bool) {
	if r.Primary == p.c.Instance.Name {
		return t, false
	}
	for _, e := range p.endpointSet(serviceOf(r.ID)).Endpoints {
		if e.Node == r.Primary {
			return httpcall.Target{Node: e.Node, Address: e.Address}, true
		}
	}
	return t, false
}

// statusOf returns the state of a claim that this process is said to have made: ResultNew if it has released the claim. A
// process that was restarted does not know. The copy of a running claim of another process says nothing about this one. The
// caller holds mu.
func (p *Idempotency) statusOf(r *Record, now time.Time) *reply {
	p.claims.expire(now)
	if old := p.claims.records[r.ID]; old != nil && old.Hash == r.Hash && !p.isRunningElsewhere(old) {
		return &reply{Result: ResultKnown, Record: old}
	}
	if r.Primary == p.c.Instance.Name && r.Boot == p.boot {
		return &reply{Result: ResultNew}
	}
	unknown := *r
	unknown.State, unknown.Reply = StateUnknown, nil
	return &reply{Result: ResultKnown, Record: &unknown}
}
