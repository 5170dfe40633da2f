package idempotency

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// joining is when the own endpoint was first seen as ready.
type joining struct {
	incarnation uint64
	readySince  int64
	at          time.Time
}

// join notes since when the own endpoint of a service is ready. mu is held.
func (p *Idempotency) join(set *resource.EndpointSet, now time.Time) {
	own := p.own(set)
	if own == nil {
		return
	}
	if j := p.joined[set.Service]; j.incarnation != own.Incarnation || j.readySince != own.ReadySince {
		p.joined[set.Service] = joining{own.Incarnation, own.ReadySince, now}
	}
}

// recent reports whether the own endpoint of the service became ready within the
// time that earlier holders have for copying their claims, or is not in the own view
// yet, so that claims of earlier holders may be missing here. mu is held.
func (p *Idempotency) recent(service string, now time.Time) bool {
	own := p.own(p.sets[service])
	if own == nil {
		return true
	}
	j := p.joined[service]
	return j.incarnation != own.Incarnation || j.readySince != own.ReadySince || now.Sub(j.at) < p.s.CopyTimeout.D()
}

// own is the endpoint of this node in a set, or nil.
func (p *Idempotency) own(set *resource.EndpointSet) *resource.Endpoint {
	if set == nil {
		return nil
	}
	for i := range set.Endpoints {
		if e := &set.Endpoints[i]; e.Node == p.c.Instance.Name {
			return e
		}
	}
	return nil
}

// ask records an own claim at another holder.
func (p *Idempotency) ask(ctx context.Context, to httpcall.Target, rec *Record, limit time.Time) (*reply, error) {
	p.mu.Lock()
	p.other[rec.ID] = append(p.other[rec.ID], to)
	p.mu.Unlock()
	return p.send(ctx, to, &message{Op: opClaim, Records: []Record{*rec}}, limit)
}

// askEarlier records a claim at the holders before those in asked, which are all
// recent. Several endpoints that become ready together replace both holders of a
// claim, so none of them knows what ran before. Without the recent endpoints the
// hash names the earlier holders; the call runs only if one of them does not know
// its key, or if there is none. All endpoints of the service are asked when all are
// recent, as after a start of the whole fleet: a bound would let a key run twice when
// more endpoints than that become ready together. limit bounds the time instead.
func (p *Idempotency) askEarlier(ctx context.Context, rec *Record, asked []string, limit time.Time) (Result, *Record, error) {
	set := p.set(serviceOf(rec.ID))
	for _, node := range asked {
		set = without(set, node)
	}
	for {
		e, _ := httpcall.Holders(set, rec.ID)
		if e == nil {
			return ResultNew, nil, nil
		}
		set = without(set, e.Node)
		answer, err := p.ask(ctx, httpcall.Target{Node: e.Node, Address: e.Address}, rec, limit)
		switch {
		case err != nil:
			// The next one by the hash need not have been the backup, which is preferably
			// in another availability zone.
			p.Release(rec.ID)
			return "", nil, errors.Wrapf(err, "claim at the earlier holder %s", e.Node)
		case answer.Result != ResultNew:
			return p.refused(rec, answer)
		case !answer.Recent:
			return ResultNew, nil, nil
		}
	}
}

// set is the present set of a service, or an empty one.
func (p *Idempotency) set(service string) *resource.EndpointSet {
	if s := p.view.Current(); s != nil && s.Sets[service] != nil {
		return s.Sets[service]
	}
	return &resource.EndpointSet{Service: service}
}

// refused takes the answer of a holder that did not record an own claim.
func (p *Idempotency) refused(rec *Record, answer *reply) (Result, *Record, error) {
	if answer.Result == ResultKnown {
		p.repeat.Inc()
		return ResultKnown, p.adopt(answer.Record), nil
	}
	p.Release(rec.ID)
	return answer.Result, nil, nil
}
