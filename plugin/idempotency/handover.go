package idempotency

import (
	"context"
	"strings"
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/pool"
)

// Bounds of one handover message.
const (
	batchRecords = 64
	batchBytes   = 256 << 10
)

// copyTimeout bounds the copying of all claims after a change of the endpoints.
const copyTimeout = 10 * time.Second

// without is the set without a node.
func without(set *resource.EndpointSet, node string) *resource.EndpointSet {
	out := &resource.EndpointSet{Service: set.Service}
	for _, e := range set.Endpoints {
		if e.Node != node {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}

// successors are the holders of a claim once its present holder has left: those
// of the remaining set, or the other holders when the set is not known.
func successors(id string, rest *resource.EndpointSet, other []httpcall.Target) []httpcall.Target {
	var out []httpcall.Target
	if rest != nil {
		primary, backup := httpcall.Holders(rest, id)
		for _, e := range []*resource.Endpoint{primary, backup} {
			if e != nil {
				out = append(out, httpcall.Target{Node: e.Node, Address: e.Address})
			}
		}
	}
	if len(out) == 0 {
		return other
	}
	return out
}

// newHolders are the holders of a claim in the set now that were not holders in
// the set before; a restarted node has lost its table and counts as new.
func newHolders(id string, before, now *resource.EndpointSet, self string) []httpcall.Target {
	var out []httpcall.Target
	p0, b0 := httpcall.Holders(before, id)
	p1, b1 := httpcall.Holders(now, id)
	for _, e := range []*resource.Endpoint{p1, b1} {
		if e == nil || e.Node == self || same(e, p0) || same(e, b0) {
			continue
		}
		out = append(out, httpcall.Target{Node: e.Node, Address: e.Address})
	}
	return out
}

func same(a, b *resource.Endpoint) bool {
	return b != nil && a.Node == b.Node && a.Incarnation == b.Incarnation
}

// batches splits records into messages of bounded size.
func batches(records []Record) [][]Record {
	var out [][]Record
	start, size := 0, 0
	for i := range records {
		n := records[i].Reply.size()
		if i > start && (i-start >= batchRecords || size+n > batchBytes) {
			out, start, size = append(out, records[start:i]), i, 0
		}
		size += n
	}
	if start < len(records) {
		out = append(out, records[start:])
	}
	return out
}

// Handover gives all claims to the nodes that hold them once this one has left.
// It blocks until they have them or ctx ends.
func (p *Idempotency) Handover(ctx context.Context) {
	rest := map[string]*resource.EndpointSet{}
	if s := p.view.Current(); s != nil {
		for name, set := range s.Sets {
			rest[name] = without(set, p.c.Instance.Name)
		}
	}
	p.copyClaims(ctx, func(id string, other []httpcall.Target) []httpcall.Target {
		return successors(id, rest[serviceOf(id)], other)
	})
}

// changed copies claims to nodes that became their holders, so that each claim
// is on two nodes again before a second one of them is lost.
func (p *Idempotency) changed(s *resource.Snapshot) {
	p.mu.Lock()
	before := p.sets
	p.sets = s.Sets
	concerned := false
	for name := range p.services {
		concerned = concerned || len(p.claims.records) > 0 && before[name] != s.Sets[name]
	}
	p.mu.Unlock()
	if !concerned || !p.started.Load() {
		return
	}
	job := func() {
		p.copyClaims(context.Background(), func(id string, _ []httpcall.Target) []httpcall.Target {
			service := serviceOf(id)
			old, now := before[service], s.Sets[service]
			if old == nil || now == nil || old == now {
				return nil
			}
			return newHolders(id, old, now, p.c.Instance.Name)
		})
	}
	if err := p.pool.TrySubmit(&pool.Job{Key: "copy", Run: job}); err != nil {
		p.c.Log.Log(evUncopied).Err(err).Send()
	}
}

// copyClaims sends each claim to the nodes that to returns for it.
func (p *Idempotency) copyClaims(ctx context.Context, to func(id string, other []httpcall.Target) []httpcall.Target) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(copyTimeout)
	}
	sent, lost := 0, 0
	for target, records := range p.copies(time.Now(), to) {
		for _, b := range batches(records) {
			limit := time.Now().Add(p.s.MessageTimeout.D())
			if deadline.Before(limit) {
				limit = deadline
			}
			r, err := p.send(ctx, target, &message{Op: opMerge, Records: b}, limit)
			if err == nil && r.Result == ResultNew {
				sent += len(b)
				continue
			}
			lost += len(b)
			p.c.Log.Log(evUncopied).Str("holder", target.Node).Int("claims", len(b)).Err(err).Send()
		}
	}
	if sent+lost > 0 {
		p.c.Log.Log(evCopied).Int("sent", sent).Int("failed", lost).Send()
	}
}

// held is a record with the nodes that were told of it.
type held struct {
	record Record
	other  []httpcall.Target
}

// copies returns the records for each target. The targets are computed without
// the lock, as this takes some microseconds for each record.
func (p *Idempotency) copies(now time.Time, to func(string, []httpcall.Target) []httpcall.Target) map[httpcall.Target][]Record {
	out := map[httpcall.Target][]Record{}
	for _, h := range p.all(now) {
		h.record.TTL = h.record.expires.Sub(now).Milliseconds()
		for _, t := range to(h.record.ID, h.other) {
			out[t] = append(out[t], h.record)
		}
	}
	return out
}

func (p *Idempotency) all(now time.Time) []held {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claims.expire(now)
	list := make([]held, 0, len(p.claims.records))
	for id, r := range p.claims.records {
		list = append(list, held{*r, p.other[id]})
	}
	return list
}

// holdersOf returns the other holders of a claim at present: those of the set
// when this node holds it, else those that recorded it.
func (p *Idempotency) holdersOf(id string, other []httpcall.Target) []httpcall.Target {
	s := p.view.Current()
	if s == nil || s.Sets[serviceOf(id)] == nil {
		return successors(id, nil, other)
	}
	var out []httpcall.Target
	for _, t := range successors(id, s.Sets[serviceOf(id)], other) {
		if t.Node != p.c.Instance.Name {
			out = append(out, t)
		}
	}
	return out
}

// serviceOf returns the service in a claim's identity.
func serviceOf(id string) string {
	_, rest, _ := strings.Cut(id, "\x00")
	service, _, _ := strings.Cut(rest, "\x00")
	return service
}
