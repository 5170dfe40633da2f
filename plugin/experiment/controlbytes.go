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

func init() { registerScenario("control-bytes", measureControlBytes) }

// Targets from section 1.8 of the design.
const (
	// deltaRatioTarget is the maximum ratio of the control bytes per change to the minimal delta.
	deltaRatioTarget = 1.5
	// idleBytesPerSecondTarget is the maximum control traffic of each node while there are no changes
	// and no endpoint events.
	idleBytesPerSecondTarget = 100
)

// reconnectZone is the name of a zone that has nodes but no control instance, so that its
// connections can be cut without affecting those between control instances.
const reconnectZone = "cant-c"

// trafficCounter is the part of the plug-in "peer" that counts the bytes of a node's control traffic.
type trafficCounter interface {
	Traffic() (sent, received uint64)
}

// measureControlBytes measures the control traffic per node, for each fleet size and variant.
func measureControlBytes(e *env) error {
	for _, n := range e.s.Nodes {
		for _, v := range e.variants() {
			if err := measureFleetBytes(e, n, v); err != nil {
				return errors.Wrapf(err, "%d nodes, %s", n, v.name)
			}
		}
	}
	return nil
}

// measureFleetBytes runs all measurements of the scenario on one fleet of n nodes.
func measureFleetBytes(e *env, n int, v variant) error {
	f, err := newFleet(e, fleetOptions{nodes: n, controlSettings: v.controlSettings(), withRelays: true})
	defer func() { _ = f.stop() }()
	if err != nil {
		return err
	}
	for _, measure := range []func(int, variant) error{f.measureChangeBytes, f.measureBurstBytes, f.measureIdleBytes, f.measureEndpointBytes, f.measureReconnectBytes} {
		// Wait until traffic of the previous measurement has ended.
		if err := e.sleep(500 * time.Millisecond); err != nil {
			return err
		}
		if err := measure(n, v); err != nil {
			return err
		}
	}
	return nil
}

// totalNodeBytes returns the number of bytes of control traffic that all nodes have sent and received
// so far.
func (f *fleet) totalNodeBytes() (float64, error) {
	sum := 0.0
	for _, p := range f.nodes {
		t, err := pluginService[trafficCounter](p, "peer")
		if err != nil {
			return 0, err
		}
		sent, received := t.Traffic()
		sum += float64(sent + received)
	}
	return sum, nil
}

// measureBytesPerNode runs work and returns the control traffic of all nodes during it, in bytes per
// node.
func (f *fleet) measureBytesPerNode(work func() error) (float64, error) {
	before, err := f.totalNodeBytes()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := f.totalNodeBytes()
	return (after - before) / float64(len(f.nodes)), err
}

// minimalDeltaBytes returns the size of the delta from version from to the current version, encoded
// as JSON and compressed at the highest level, without framing.
func (f *fleet) minimalDeltaBytes(from resource.Version) (float64, error) {
	c, err := pluginService[interface {
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

// measureChangeBytes measures the traffic of changes that are made one at a time: each is served by
// all nodes before the next one is made.
func (f *fleet) measureChangeBytes(n int, v variant) error {
	minimalBytes, changes := 0.0, f.e.s.Changes
	perNodeBytes, err := f.measureBytesPerNode(func() error {
		for i := range changes {
			from := f.operator.lastVersion
			version, err := f.submitChange(i)
			if err == nil {
				err = f.waitForVersion(version, convergenceTimeout)
			}
			if err != nil {
				return err
			}
			m, err := f.minimalDeltaBytes(from)
			if err != nil {
				return err
			}
			minimalBytes += m
		}
		return nil
	})
	if err != nil {
		return err
	}
	caseName := fmt.Sprintf("%d nodes, one change at a time", n)
	f.e.addFigure(caseName, v.name, "bytes per node and change", perNodeBytes/float64(changes), "B", 0, changes)
	f.e.addFigure(caseName, v.name, "minimal delta", minimalBytes/float64(changes), "B", 0, changes)
	f.e.addFigure(caseName, v.name, "ratio to minimal delta", perNodeBytes/minimalBytes, "", deltaRatioTarget, changes)
	return nil
}

// measureBurstBytes measures the traffic of a burst of changes to one team. Each change is made as
// soon as the previous change is accepted.
func (f *fleet) measureBurstBytes(n int, v variant) error {
	from, changes := f.operator.lastVersion, f.e.s.Changes
	perNodeBytes, err := f.measureBytesPerNode(func() error {
		for range changes {
			if _, err := f.submitChange(0); err != nil {
				return err
			}
		}
		return f.waitForVersion(f.operator.lastVersion, convergenceTimeout)
	})
	if err != nil {
		return err
	}
	minimalBytes, err := f.minimalDeltaBytes(from)
	if err != nil {
		return err
	}
	caseName := fmt.Sprintf("%d nodes, burst of %d changes of one team", n, changes)
	f.e.addFigure(caseName, v.name, "bytes per node and change", perNodeBytes/float64(changes), "B", 0, changes)
	f.e.addFigure(caseName, v.name, "minimal delta of the whole burst", minimalBytes, "B", 0, 1)
	return nil
}

// measureIdleBytes measures the traffic while there are no changes and no endpoint events.
func (f *fleet) measureIdleBytes(n int, v variant) error {
	seconds := f.e.s.Duration.AsDuration().Seconds()
	perNodeBytes, err := f.measureBytesPerNode(func() error { return f.e.sleep(f.e.s.Duration.AsDuration()) })
	if err != nil {
		return err
	}
	f.e.addFigure(fmt.Sprintf("%d nodes, idle", n), v.name, "bytes per node and second", perNodeBytes/seconds, "B/s", idleBytesPerSecondTarget, n)
	return nil
}

// measureEndpointBytes measures the traffic that each endpoint event causes.
func (f *fleet) measureEndpointBytes(n int, v variant) error {
	events := 0
	perNodeBytes, err := f.measureBytesPerNode(func() error {
		ctx, cancel := context.WithTimeout(f.e.ctx, f.e.s.Duration.AsDuration())
		defer cancel()
		events = f.runEndpointChurn(ctx, 50, func() {})
		return f.e.sleep(500 * time.Millisecond)
	})
	if err != nil {
		return err
	}
	if events == 0 {
		return errors.New("no node accepted an endpoint event")
	}
	f.e.addFigure(fmt.Sprintf("%d nodes, 50 endpoint events/s", n), v.name, "bytes per node and event", perNodeBytes/float64(events), "B", 0, events)
	return nil
}

// measureReconnectBytes partitions the nodes of one zone from all control instances, makes
// changes, and measures the traffic of the nodes when they reconnect.
func (f *fleet) measureReconnectBytes(n int, v variant) error {
	reconnectingNodes := 0
	for _, p := range f.plan.Nodes {
		if p.Zone == reconnectZone {
			reconnectingNodes++
		}
	}
	if reconnectingNodes == 0 {
		return nil
	}
	for _, missedChanges := range []int{0, 10, f.e.s.Missed} {
		from, before := f.operator.lastVersion, f.relayedBytes()
		f.forEachReconnectRelay(func(r partitioner) { r.Cut() })
		for i := range missedChanges {
			if _, err := f.submitChange(i); err != nil {
				return err
			}
		}
		f.forEachReconnectRelay(func(r partitioner) { r.Heal() })
		// Make one more change: when all nodes serve it, all of them have reconnected.
		version, err := f.submitChange(0)
		if err != nil {
			return err
		}
		started := time.Now()
		if err := f.waitForVersion(version, convergenceTimeout); err != nil {
			return err
		}
		took := time.Since(started)
		minimalBytes, err := f.minimalDeltaBytes(from)
		if err != nil {
			return err
		}
		perNodeBytes := float64(f.relayedBytes()-before) / float64(reconnectingNodes)
		caseName := fmt.Sprintf("%d nodes, %d reconnect after %d changes", n, reconnectingNodes, missedChanges)
		f.e.addFigure(caseName, v.name, "bytes per reconnecting node", perNodeBytes, "B", 0, reconnectingNodes)
		f.e.addFigure(caseName, v.name, "minimal delta", minimalBytes, "B", 0, 1)
		f.e.addFigure(caseName, v.name, "time until all are current", millis(took), "ms", convergenceTargetMillis, 1)
	}
	return nil
}

// partitioner is the part of relay.Relay that starts and ends a partition.
type partitioner interface {
	Cut()
	Heal()
}

// forEachReconnectRelay calls do with each relay of reconnectZone.
func (f *fleet) forEachReconnectRelay(do func(partitioner)) {
	for key, r := range f.relays {
		if strings.HasPrefix(key, reconnectZone+">") {
			do(r)
		}
	}
}

// relayedBytes returns the number of bytes forwarded by the relays of reconnectZone.
func (f *fleet) relayedBytes() int64 {
	sum := int64(0)
	for key, r := range f.relays {
		if strings.HasPrefix(key, reconnectZone+">") {
			sum += r.BytesToTarget.Load() + r.BytesFromTarget.Load()
		}
	}
	return sum
}
