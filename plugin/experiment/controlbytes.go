package experiment

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/klauspost/compress/zstd"

	"github.com/celeryyard/celeryyard/core/resource"
)

func init() { register("control-bytes", controlBytes) }

// Targets of section 1.8 of the design.
const (
	// deltaTarget is the most control bytes in relation to the minimal delta.
	deltaTarget = 1.5
	// idleTarget is in bytes a second for each node.
	idleTarget = 100
)

// reconnectZone has nodes but no control instance, so that its connections can
// be cut without touching those between control instances.
const reconnectZone = "cant-c"

// traffic is implemented by the plug-in peer.
type traffic interface {
	Traffic() (sent, received uint64)
}

// controlBytes measures what the distribution of configuration costs each node.
func controlBytes(e *env) error {
	for _, n := range e.s.Nodes {
		for _, v := range e.variants() {
			if err := bytesOf(e, n, v); err != nil {
				return errors.Wrapf(err, "%d nodes, %s", n, v.name)
			}
		}
	}
	return nil
}

func bytesOf(e *env, n int, v variant) error {
	f, err := newFleet(e, fleetOptions{nodes: n, control: v.control(), relays: true})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	for _, step := range []func(int, variant) error{f.changeBytes, f.burstBytes, f.idleBytes, f.endpointBytes, f.reconnectBytes} {
		// Work left over from the step before is finished.
		if err := e.sleep(500 * time.Millisecond); err != nil {
			return err
		}
		if err := step(n, v); err != nil {
			return err
		}
	}
	return nil
}

// nodeBytes returns the bytes that all nodes sent and received so far.
func (f *fleet) nodeBytes() (float64, error) {
	sum := 0.0
	for _, p := range f.nodes {
		t, err := service[traffic](p, "peer")
		if err != nil {
			return 0, err
		}
		sent, received := t.Traffic()
		sum += float64(sent + received)
	}
	return sum, nil
}

// perNode returns the bytes for each node that work causes.
func (f *fleet) perNode(work func() error) (float64, error) {
	before, err := f.nodeBytes()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := f.nodeBytes()
	return (after - before) / float64(len(f.nodes)), err
}

// minimalDelta returns the bytes of the change between two versions, encoded as
// JSON and compressed as well as possible, without any framing.
func (f *fleet) minimalDelta(from resource.Version) (float64, error) {
	c, err := service[interface {
		Delta(from resource.Version, services map[string]bool) resource.Delta
	}](f.controls[0], "catalog")
	if err != nil {
		return 0, err
	}
	text, err := json.Marshal(c.Delta(from, nil))
	if err != nil {
		return 0, err
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression), zstd.WithEncoderCRC(false))
	if err != nil {
		return 0, err
	}
	defer w.Close()
	return float64(len(w.EncodeAll(text, nil))), nil
}

// changeBytes makes changes one after another.
func (f *fleet) changeBytes(n int, v variant) error {
	minimal, count := 0.0, f.e.s.Changes
	used, err := f.perNode(func() error {
		for i := range count {
			from := f.ops.version
			version, err := f.change(i)
			if err == nil {
				err = f.converge(version, convergeLimit)
			}
			if err != nil {
				return err
			}
			m, err := f.minimalDelta(from)
			if err != nil {
				return err
			}
			minimal += m
		}
		return nil
	})
	if err != nil {
		return err
	}
	kase := fmt.Sprintf("%d nodes, one change at a time", n)
	f.e.add(kase, v.name, "bytes per node and change", used/float64(count), "B", 0, count)
	f.e.add(kase, v.name, "minimal delta", minimal/float64(count), "B", 0, count)
	f.e.add(kase, v.name, "ratio to minimal delta", used/minimal, "", deltaTarget, count)
	return nil
}

// burstBytes makes changes of one team as fast as they are accepted.
func (f *fleet) burstBytes(n int, v variant) error {
	from, count := f.ops.version, f.e.s.Changes
	used, err := f.perNode(func() error {
		for range count {
			if _, err := f.change(0); err != nil {
				return err
			}
		}
		return f.converge(f.ops.version, convergeLimit)
	})
	if err != nil {
		return err
	}
	minimal, err := f.minimalDelta(from)
	if err != nil {
		return err
	}
	kase := fmt.Sprintf("%d nodes, burst of %d changes of one team", n, count)
	f.e.add(kase, v.name, "bytes per node and change", used/float64(count), "B", 0, count)
	f.e.add(kase, v.name, "minimal delta of the whole burst", minimal, "B", 0, 1)
	return nil
}

func (f *fleet) idleBytes(n int, v variant) error {
	seconds := f.e.s.Duration.D().Seconds()
	used, err := f.perNode(func() error { return f.e.sleep(f.e.s.Duration.D()) })
	if err != nil {
		return err
	}
	f.e.add(fmt.Sprintf("%d nodes, idle", n), v.name, "bytes per node and second", used/seconds, "B/s", idleTarget, n)
	return nil
}

func (f *fleet) endpointBytes(n int, v variant) error {
	events := 0
	used, err := f.perNode(func() error {
		ctx, cancel := context.WithTimeout(f.e.ctx, f.e.s.Duration.D())
		defer cancel()
		events = f.churn(ctx, 50, func() {})
		return f.e.sleep(500 * time.Millisecond)
	})
	if err != nil {
		return err
	}
	if events == 0 {
		return errors.New("no endpoint event was taken by a node")
	}
	f.e.add(fmt.Sprintf("%d nodes, 50 endpoint events/s", n), v.name, "bytes per node and event", used/float64(events), "B", 0, events)
	return nil
}

// reconnectBytes cuts the nodes of one zone from all control instances, makes
// changes, and heals.
func (f *fleet) reconnectBytes(n int, v variant) error {
	nodes := 0
	for _, p := range f.plan.Nodes {
		if p.Zone == reconnectZone {
			nodes++
		}
	}
	if nodes == 0 {
		return nil
	}
	for _, missed := range []int{0, 10, f.e.s.Missed} {
		from, before := f.ops.version, f.relayed()
		f.eachRelay(func(r cutter) { r.Cut() })
		for i := range missed {
			if _, err := f.change(i); err != nil {
				return err
			}
		}
		f.eachRelay(func(r cutter) { r.Heal() })
		// One more change shows when all are back.
		version, err := f.change(0)
		if err != nil {
			return err
		}
		started := time.Now()
		if err := f.converge(version, convergeLimit); err != nil {
			return err
		}
		took := time.Since(started)
		minimal, err := f.minimalDelta(from)
		if err != nil {
			return err
		}
		used := float64(f.relayed()-before) / float64(nodes)
		kase := fmt.Sprintf("%d nodes, %d reconnect after %d changes", n, nodes, missed)
		f.e.add(kase, v.name, "bytes per reconnecting node", used, "B", 0, nodes)
		f.e.add(kase, v.name, "minimal delta", minimal, "B", 0, 1)
		f.e.add(kase, v.name, "time until all are current", millis(took), "ms", anyTarget, 1)
	}
	return nil
}

type cutter interface {
	Cut()
	Heal()
}

func (f *fleet) eachRelay(do func(cutter)) {
	for key, r := range f.relays {
		if strings.HasPrefix(key, reconnectZone+">") {
			do(r)
		}
	}
}

// relayed returns the bytes passed on by the relays of the cut zone.
func (f *fleet) relayed() int64 {
	sum := int64(0)
	for key, r := range f.relays {
		if strings.HasPrefix(key, reconnectZone+">") {
			sum += r.ToTarget.Load() + r.FromTarget.Load()
		}
	}
	return sum
}
