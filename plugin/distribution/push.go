package distribution

import (
	"fmt"
	"strings"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// pushKey orders the jobs that send changes to all sessions.
const pushKey = "distribution/push"

// maxCached bounds the cached deltas and encodings; both are rebuilt on demand.
const maxCached = 1024

type deltaKey struct {
	group string
	from  resource.Version
}

// encoded is an update as it goes to every node that needs the same step.
type encoded struct {
	id      uint64
	message *rpc.Message
}

// kick schedules a push to all sessions, after the time that gathers changes.
func (d *Distribution) kick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kicked {
		return
	}
	d.kicked = true
	if d.s.Coalesce == 0 && d.c.Next(pushKey, d.pushAll) == nil {
		return
	}
	d.c.After(d.s.Coalesce.D(), pushKey, d.pushAll)
}

// pushAll sends to every session that is behind.
func (d *Distribution) pushAll() {
	d.mu.Lock()
	d.kicked = false
	d.mu.Unlock()
	d.refresh()
	d.follow()
	d.mu.Lock()
	list := make([]*entry, 0, len(d.sessions))
	for _, e := range d.sessions {
		if e.admitted && e.paced && e.flight == nil {
			list = append(list, e)
		}
	}
	d.mu.Unlock()
	for _, e := range list {
		d.push(e)
	}
}

// refresh reads the changed endpoint sets and reports whether an endpoint began
// to drain or left. It runs in jobs of pushKey only, so that no older state of a
// set overwrites a newer one.
func (d *Distribution) refresh() (leaving bool) {
	settled := d.discovery.Settled()
	d.mu.Lock()
	d.settled = settled
	dirty := sortedKeys(d.dirty)
	clear(d.dirty)
	d.mu.Unlock()
	for _, service := range dirty {
		set := d.discovery.Set(service)
		d.mu.Lock()
		old := d.sets[service]
		d.sets[service] = newSetState(set, old)
		leaving = leaving || old != nil && leaves(old.set, &set)
		clear(d.encoded)
		d.mu.Unlock()
	}
	return leaving
}

// follow brings the index of clusters to a released version.
func (d *Distribution) follow() {
	d.mu.Lock()
	from, released := d.index.version, d.released
	d.mu.Unlock()
	if from >= released && from != 0 {
		return
	}
	delta, ok := d.delta(deltaKey{peerapi.AllServices, from}, nil)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.index.version == from && delta.To > from {
		d.index.apply(delta)
	}
}

// delta returns the delta from a version to a released one. It returns false
// while the version that the delta leads to is not released yet; a push follows
// once it is. services is nil for all.
func (d *Distribution) delta(key deltaKey, services []string) (*resource.Delta, bool) {
	d.mu.Lock()
	delta, released := d.deltas[key], d.released
	d.mu.Unlock()
	if delta == nil || delta.To < released {
		var wanted map[string]bool
		if services != nil {
			wanted = map[string]bool{}
			for _, s := range services {
				wanted[s] = true
			}
		}
		fresh := d.catalog.Delta(key.from, wanted)
		delta = &fresh
		d.mu.Lock()
		if len(d.deltas) >= maxCached {
			clear(d.deltas)
		}
		d.deltas[key] = delta
		d.mu.Unlock()
	}
	if delta.To > released {
		d.release(delta.To)
		return nil, false
	}
	return delta, true
}

// push sends the next update to one session when it is behind.
func (d *Distribution) push(e *entry) {
	d.mu.Lock()
	from, wants := e.from(), e.flight == nil && e.admitted && e.paced && (e.full || d.released > e.held)
	d.mu.Unlock()
	var delta *resource.Delta
	if wants {
		var ok bool
		if delta, ok = d.delta(deltaKey{e.group, from}, e.services); !ok {
			return
		}
	}
	m, err := d.plan(e, from, delta)
	if err == nil && m != nil {
		err = e.conn.Send(m)
	}
	if err != nil {
		d.c.Log.Log(evSendError).Str("node", e.node).Err(err).Send()
		e.conn.Close()
	}
}

// plan decides on the next update of a session and returns its encoding, or nil
// when there is nothing to send.
func (d *Distribution) plan(e *entry, from resource.Version, delta *resource.Delta) (*rpc.Message, error) {
	now := d.c.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !e.paced || e.from() != from {
		return nil, nil // an acknowledgement came in between and pushes itself
	}
	u, f := e.session.plan(d.offer(e, delta))
	if u == nil {
		return nil, nil
	}
	enc, err := d.encode(e.group, from, u, f)
	if err != nil {
		return nil, err
	}
	e.session.sent(enc.id, f)
	e.sent = now
	d.updates.Inc()
	d.updateSize.Add(enc.message.Plain)
	return enc.message, nil
}

// offer is called with mu held.
func (d *Distribution) offer(e *entry, delta *resource.Delta) offer {
	o := offer{delta: delta, settled: d.settled, set: d.set}
	if e.services == nil {
		o.services, o.version = d.index.services(), d.index.version
	}
	return o
}

// set is called with mu held. A service that discovery never named has an empty set.
func (d *Distribution) set(service string) *setState {
	s := d.sets[service]
	if s == nil {
		s = newSetState(resource.EndpointSet{Service: service, Endpoints: []resource.Endpoint{}}, nil)
		d.sets[service] = s
	}
	return s
}

// encode returns the encoding of an update, shared between all sessions that
// need the same one. It is called with mu held.
func (d *Distribution) encode(group string, from resource.Version, u *peerapi.Update, f *flight) (*encoded, error) {
	var key strings.Builder
	fmt.Fprintf(&key, "%s|%d>%d,%t", group, from, f.to, u.Delta != nil)
	for _, c := range u.Changes {
		fmt.Fprintf(&key, "|%s:%x>%x", c.Service, c.Base, c.Digest)
	}
	for _, s := range u.Sets {
		fmt.Fprintf(&key, "|%s=%x", s.Service, f.sets[s.Service])
	}
	fmt.Fprintf(&key, "|%v", u.Drop)
	if enc := d.encoded[key.String()]; enc != nil {
		return enc, nil
	}
	d.lastID++
	u.ID = d.lastID
	m, err := rpc.NewMessage(peerapi.NodeUpdate, u)
	if err != nil {
		return nil, err
	}
	d.encodings.Inc()
	if len(d.encoded) >= maxCached {
		clear(d.encoded)
	}
	enc := &encoded{id: u.ID, message: m}
	d.encoded[key.String()] = enc
	return enc, nil
}
