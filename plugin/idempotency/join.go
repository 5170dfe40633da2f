package idempotency

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

// joinWindow is how long a new holder counts as recent: as long as an earlier
// holder may take to copy its claims.
const joinWindow = copyTimeout

// maxEarlier bounds the messages of one claim to earlier holders. It is reached only
// when all endpoints of a service are recent, as after a start of the whole fleet.
const maxEarlier = 4

// joining is when the own endpoint was first seen as ready.
type joining struct {
	incarnation uint64
	readySince  int64
	at          time.Time
}

// recent reports whether the own endpoint of the service became ready within the
// join window, or is not in the own view yet, so that claims of earlier holders
// may be missing here. mu is held.
func (p *Idempotency) recent(service string, now time.Time) bool {
	own := p.own(service)
	if own == nil {
		return true
	}
	j := p.joined[service]
	if j.incarnation != own.Incarnation || j.readySince != own.ReadySince {
		j = joining{own.Incarnation, own.ReadySince, now}
		p.joined[service] = j
	}
	return now.Sub(j.at) < joinWindow
}

// own is the endpoint of this node in its own view, or nil.
func (p *Idempotency) own(service string) *resource.Endpoint {
	s := p.view.Current()
	if s == nil || s.Sets[service] == nil {
		return nil
	}
	for i := range s.Sets[service].Endpoints {
		if e := &s.Sets[service].Endpoints[i]; e.Node == p.c.Instance.Name {
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
// its key, or if there is none.
func (p *Idempotency) askEarlier(ctx context.Context, rec *Record, asked []string, limit time.Time) (Result, *Record, error) {
	var failed error
	for range maxEarlier {
		to, ok := p.earlier(rec.ID, asked)
		if !ok {
			break
		}
		asked = append(asked, to.Node)
		answer, err := p.ask(ctx, to, rec, limit)
		switch {
		case err != nil:
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "claim at the earlier holder %s", to.Node))
		case answer.Result != ResultNew:
			return p.refused(rec, answer)
		case !answer.Recent:
			return ResultNew, nil, nil
		}
	}
	if failed != nil {
		p.Release(rec.ID)
		return "", nil, failed
	}
	return ResultNew, nil, nil
}

// earlier is the primary holder of a claim among the endpoints that were not asked.
func (p *Idempotency) earlier(id string, asked []string) (httpcall.Target, bool) {
	s := p.view.Current()
	if s == nil || s.Sets[serviceOf(id)] == nil {
		return httpcall.Target{}, false
	}
	set := s.Sets[serviceOf(id)]
	for _, node := range asked {
		set = without(set, node)
	}
	e, _ := httpcall.Holders(set, id)
	if e == nil {
		return httpcall.Target{}, false
	}
	return httpcall.Target{Node: e.Node, Address: e.Address}, true
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
