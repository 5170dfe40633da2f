package idempotency

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/kernel/pool"
)

// Bounds of one handover message.
const (
	batchRecords = 64
	batchBytes   = 256 << 10
)

// copyPause is the time between two passes of one copying. A holder that has
// restarted listens again after some tenths of a second.
const copyPause = 200 * time.Millisecond

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

// successors are the nodes that need a record once its present holder has left: the
// holders of the remaining set, and those of the remaining set that recorded the claim
// as well, which otherwise go on to tell later holders that its call is running. When
// the set is not known, they are all that recorded it.
func successors(id string, rest *resource.EndpointSet, other []httpcall.Target) []httpcall.Target {
	var out []httpcall.Target
	if rest == nil {
		return other
	}
	primary, backup := httpcall.Holders(rest, id)
	for _, e := range []*resource.Endpoint{primary, backup} {
		if e != nil {
			out = append(out, httpcall.Target{Node: e.Node, Address: e.Address})
		}
	}
	if len(out) == 0 {
		return other
	}
	for _, t := range other {
		if !slices.Contains(out, t) && ready(rest, t) {
			out = append(out, t)
		}
	}
	return out
}

// ready reports whether a set has a target as a ready endpoint.
func ready(set *resource.EndpointSet, t httpcall.Target) bool {
	return slices.ContainsFunc(set.Endpoints, func(e resource.Endpoint) bool {
		return e.Node == t.Node && e.Address == t.Address && e.State == resource.StateReady
	})
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

// copying is the copying of claims to their new holders. It makes passes until
// each of them has its claims: a message that got no answer in time is repeated,
// as a holder that misses an answer tells later that its call may have run.
type copying struct {
	// to opens a pass and returns what names the holders that a claim is copied to.
	to func() targets
	// done holds what was delivered or is needed no more.
	done map[delivery]bool
	// until bounds the passes.
	until time.Time
}

// targets names the holders that a claim is copied to, by its identity and the nodes
// that were asked to record it.
type targets func(id string, other []httpcall.Target) []httpcall.Target

// delivery is one claim at one holder.
type delivery struct{ id, node string }

// Handover gives all claims to the nodes that hold them once this one has left.
// It blocks until they have them or ctx ends.
func (p *Idempotency) Handover(ctx context.Context) {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(p.s.CopyTimeout.D())
	}
	k := &copying{done: map[delivery]bool{}, until: until, to: p.successors}
	for !p.pass(ctx, k) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(copyPause):
		}
	}
}

// successors names the holders of the claims once this node has left.
func (p *Idempotency) successors() targets {
	rest := map[string]*resource.EndpointSet{}
	if s := p.view.Current(); s != nil {
		for name, set := range s.Sets {
			rest[name] = without(set, p.c.Instance.Name)
		}
	}
	return func(id string, other []httpcall.Target) []httpcall.Target {
		return successors(id, rest[serviceOf(id)], other)
	}
}

// changed copies claims to nodes that became their holders, so that each claim
// is on two nodes again before a second one of them is lost.
func (p *Idempotency) changed(s *resource.Snapshot) {
	p.mu.Lock()
	before := p.sets
	p.sets = s.Sets
	now := time.Now()
	for name, set := range s.Sets {
		if before[name] != set {
			p.join(set, now)
		}
	}
	concerned := false
	for name := range p.services {
		concerned = concerned || len(p.claims.records) > 0 && before[name] != s.Sets[name]
	}
	p.mu.Unlock()
	if !concerned || !p.started.Load() {
		return
	}
	to := func(id string, _ []httpcall.Target) []httpcall.Target {
		service := serviceOf(id)
		old, now := before[service], s.Sets[service]
		if old == nil || now == nil || old == now {
			return nil
		}
		return p.present(service, newHolders(id, old, now, p.c.Instance.Name))
	}
	p.copyLater(&copying{
		done: map[delivery]bool{}, until: time.Now().Add(p.s.CopyTimeout.D()), to: func() targets { return to },
	})
}

// present are the targets that are still ready in the present set.
func (p *Idempotency) present(service string, targets []httpcall.Target) []httpcall.Target {
	set := p.view.Current().Sets[service]
	return slices.DeleteFunc(targets, func(t httpcall.Target) bool {
		return set == nil || !ready(set, t)
	})
}

// copyLater makes the passes as jobs, so that a holder that does not answer keeps
// no worker between them.
func (p *Idempotency) copyLater(k *copying) {
	err := p.pool.TrySubmit(&pool.Job{Key: "copy", Run: func() {
		if !p.pass(context.Background(), k) {
			p.c.Clock.AfterFunc(copyPause, func() { p.copyLater(k) })
		}
	}})
	if err != nil {
		p.c.Log.Log(evUncopied).Err(err).Send()
	}
}

// pass sends the claims that are not delivered yet and reports whether the copying
// has ended. The first message that fails ends the pass for its holder. It is useless to
// repeat it to a holder whose table is full, or that refuses connections: that one has
// ended, and its next life counts as a new holder.
func (p *Idempotency) pass(ctx context.Context, k *copying) (ended bool) {
	sent, lost, useless := 0, 0, 0
	for target, records := range p.copies(time.Now(), k) {
		batches := batches(records)
		for i, b := range batches {
			r, err := p.send(ctx, target, &message{Op: opMerge, Records: b}, earlier(time.Now().Add(p.s.MessageTimeout.D()), k.until))
			if err == nil && r.Result == ResultNew {
				sent += len(b)
				k.delivered(target, b)
				continue
			}
			left := 0
			for _, rest := range batches[i:] {
				left += len(rest)
			}
			lost += left
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				useless += left
				for _, rest := range batches[i:] {
					k.delivered(target, rest)
				}
			}
			p.c.Log.Log(evUncopied).Str("holder", target.Node).Int("claims", left).Err(err).Send()
			break
		}
	}
	if sent+lost > 0 {
		p.c.Log.Log(evCopied).Int("sent", sent).Int("failed", lost).Send()
	}
	return lost == useless || time.Now().Add(copyPause).After(k.until)
}

// delivered notes that a holder needs the records no more.
func (k *copying) delivered(to httpcall.Target, records []Record) {
	for i := range records {
		k.done[delivery{records[i].ID, to.Node}] = true
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// held is a record with the nodes that were told of it.
type held struct {
	record Record
	other  []httpcall.Target
}

// copies returns the records for each target that are not delivered. The targets
// are computed without the lock, as this takes some microseconds for each record.
func (p *Idempotency) copies(now time.Time, k *copying) map[httpcall.Target][]Record {
	out := map[httpcall.Target][]Record{}
	to := k.to()
	for _, h := range p.all(now) {
		h.record.TTL = h.record.expires.Sub(now).Milliseconds()
		for _, t := range to(h.record.ID, h.other) {
			if !k.done[delivery{h.record.ID, t.Node}] {
				out[t] = append(out[t], h.record)
			}
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

// holdersOf returns the other nodes that need the outcome of a claim: its holders in
// the present set and those that recorded it.
func (p *Idempotency) holdersOf(id string, other []httpcall.Target) []httpcall.Target {
	var set *resource.EndpointSet
	if s := p.view.Current(); s != nil {
		set = s.Sets[serviceOf(id)]
	}
	return slices.DeleteFunc(slices.Clone(successors(id, set, other)), func(t httpcall.Target) bool {
		return t.Node == p.c.Instance.Name
	})
}

// serviceOf returns the service in a claim's identity.
func serviceOf(id string) string {
	_, rest, _ := strings.Cut(id, "\x00")
	service, _, _ := strings.Cut(rest, "\x00")
	return service
}
