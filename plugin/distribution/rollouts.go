package distribution

import (
	"context"
	"time"

	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/core/peerapi"
)

const (
	// rulesInterval is the interval at which rules of roll-outs are sent again to nodes that have not confirmed them.
	rulesInterval = 200 * time.Millisecond
	// rulesTimeout bounds the wait for a confirmation.
	rulesTimeout = time.Second
)

// onRulesChanged sends the endpoint sets of the services, which then have versions, and the rules after them.
func (d *Distribution) onRulesChanged(services []string) {
	d.mu.Lock()
	for _, s := range services {
		d.dirtyServices[s] = true
	}
	d.mu.Unlock()
	run := func() {
		d.pushAll()
		d.sendRules()
	}
	if d.c.TryGo(pushJobKey, run) != nil {
		d.c.RunAfter(rulesInterval, pushJobKey, run)
	}
}

// sendRules sends the rules of roll-outs to all attached nodes that have not confirmed them.
func (d *Distribution) sendRules() {
	rules := d.rollouts.Rules()
	if rules.Index == 0 {
		return
	}
	d.mu.Lock()
	list := make([]*nodeSession, 0, len(d.byNode))
	for _, e := range d.byNode {
		if e.rulesIndex < rules.Index {
			list = append(list, e)
		}
	}
	d.mu.Unlock()
	for _, e := range list {
		d.callRules(e, rules)
	}
}

// rulesIndex returns the index of the rules of roll-outs that this instance holds; 0 if there are none.
func (d *Distribution) rulesIndex() uint64 {
	if d.rollouts == nil {
		return 0
	}
	return d.rollouts.RulesIndex()
}

// sendRulesTo sends the rules of roll-outs, if there are any, to a node that has just attached.
func (d *Distribution) sendRulesTo(e *nodeSession) {
	if d.rollouts == nil {
		return
	}
	if rules := d.rollouts.Rules(); rules.Index > 0 {
		d.callRules(e, rules)
	}
}

// callRules sends rules to a node. If another message with rules awaits its confirmation, the newest ones are sent after it.
func (d *Distribution) callRules(e *nodeSession, rules *peerapi.Rollouts) {
	d.mu.Lock()
	busy := e.rulesInFlight
	e.rulesInFlight = true
	d.mu.Unlock()
	if busy {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rulesTimeout)
	e.conn.CallAsync(ctx, peerapi.NodeRollouts, rules, func(raw []byte, err error) {
		cancel()
		var r peerapi.RolloutsReply
		if err == nil {
			err = json.Unmarshal(raw, &r)
		}
		d.mu.Lock()
		e.rulesInFlight = false
		if err == nil {
			e.rulesIndex = max(e.rulesIndex, r.Index)
		}
		d.mu.Unlock()
		if err != nil {
			return // sendRules runs again at its interval
		}
		d.c.Go("distribution/rules", func() {
			if newest := d.rollouts.Rules(); newest.Index > rules.Index {
				d.sendRules()
			}
		})
	})
}

// NodesWithoutRules returns the number of attached nodes that have not confirmed rules of the given index.
func (d *Distribution) NodesWithoutRules(index uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.byNode {
		if e.rulesIndex < index {
			n++
		}
	}
	return n
}
