package peerapi

import (
	"slices"
	"time"
)

// Method names of roll-outs.
const (
	NodeRollouts   = "node.rollouts"   // call to the node, Rollouts to RolloutsReply
	RolloutsReport = "rollouts.report" // call to the leader of the replicated log, InstanceReport to InstanceReply
)

// Stages of a rule, as far as nodes distinguish them.
const (
	// RuleActive splits requests between the new version and the others within a permit.
	RuleActive = "active"
	// RuleFinishing sends all requests to the new version, while requests at the others end.
	RuleFinishing = "finishing"
	// RuleDone only excludes versions.
	RuleDone = "done"
)

// RolloutRule states how a node chooses among the endpoints of a service by version.
type RolloutRule struct {
	Service string `json:"s"`
	// ID identifies the roll-out: it is the log index of its order.
	ID     uint64 `json:"i"`
	Target string `json:"t"`
	Stage  string `json:"p"`
	// Share is the fraction of first attempts for the target version while the rule is active.
	Share float64 `json:"w,omitzero"`
	// Canaries is the number of endpoints of the target version that get requests; 0 means all.
	Canaries int `json:"c,omitzero"`
	// Excluded lists the versions that get no requests.
	Excluded []string `json:"x,omitempty"`
	// Unversioned states that the service had endpoints without a version when the roll-out was ordered. Otherwise, an
	// endpoint without a version is one whose version is not known yet.
	Unversioned bool `json:"u,omitzero"`
}

// Equal reports whether two rules have the same content.
func (r *RolloutRule) Equal(o *RolloutRule) bool {
	return r.Service == o.Service && r.ID == o.ID && r.Target == o.Target && r.Stage == o.Stage && r.Share == o.Share &&
		r.Canaries == o.Canaries && r.Unversioned == o.Unversioned && slices.Equal(r.Excluded, o.Excluded)
}

// Rollouts holds all rules.
type Rollouts struct {
	// Index is the log index of the entry that changed a rule last. Rules with a higher index replace those with a lower one.
	Index uint64        `json:"i"`
	Rules []RolloutRule `json:"r,omitempty"`
}

// RolloutsReply confirms rules.
type RolloutsReply struct {
	// Index is that of the rules that the node holds; it may be above that of the message.
	Index uint64 `json:"i"`
}

// RolloutCounts holds numbers of requests that an endpoint answered or failed, since the node learned of the roll-out.
type RolloutCounts struct {
	Requests uint64 `json:"n,omitzero"`
	// Failures counts answers with a status of 500 or above and upstreams that failed.
	Failures uint64 `json:"f,omitzero"`
	// Measured counts the answers of endpoints that were not warming up. Slow counts those of them that took much longer than
	// the route's mean at the node, and Millis is the sum of their durations.
	Measured uint64 `json:"m,omitzero"`
	Slow     uint64 `json:"l,omitzero"`
	Millis   uint64 `json:"d,omitzero"`
}

// Add adds o to c.
func (c *RolloutCounts) Add(o RolloutCounts) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	c.Measured += o.Measured
	c.Slow += o.Slow
	c.Millis += o.Millis
}

// RouteCounts holds the counts of one route.
type RouteCounts struct {
	// Route is the name of the route; empty for all routes beyond the first ones that the node has called.
	Route string        `json:"r,omitempty"`
	Old   RolloutCounts `json:"o,omitzero"`
	New   RolloutCounts `json:"n,omitzero"`
}

// RolloutReport is a node's report on one roll-out. Its numbers are cumulative, so repeated and lost reports are harmless.
type RolloutReport struct {
	Service string `json:"s"`
	ID      uint64 `json:"i"`
	// Index is that of the rules that the node holds.
	Index uint64 `json:"x"`
	// Sent is the number of attempts at endpoints of the target version, and Permitted the permit that the node holds.
	Sent      uint64 `json:"n,omitzero"`
	Permitted uint64 `json:"p,omitzero"`
	// OldRunning is the number of the node's attempts in progress at endpoints of other versions.
	OldRunning int           `json:"o,omitzero"`
	Routes     []RouteCounts `json:"r,omitempty"`
}

// UnlimitedPermit permits any number of requests.
const UnlimitedPermit = 1 << 50

// Permit is how many requests the receiving node may send to the target version since it learned of the roll-out.
type Permit struct {
	Service string `json:"s"`
	ID      uint64 `json:"i"`
	Count   uint64 `json:"n"`
	// LifetimeMillis is how long the node may use the permit after it sent the ping that was answered with it.
	LifetimeMillis int `json:"l"`
}

// NodeReport is the report of one node, passed on by its control instance.
type NodeReport struct {
	Node        string          `json:"n"`
	Incarnation uint64          `json:"i"`
	Reports     []RolloutReport `json:"r"`
}

// InstanceReport is what a control instance tells the leader about the roll-outs in progress.
type InstanceReport struct {
	Instance string `json:"instance"`
	// Index is that of the rules that the instance has applied. Pending is the number of attached nodes that have not
	// confirmed them.
	Index   uint64 `json:"x"`
	Pending int    `json:"p,omitzero"`
	// Nodes holds the reports that arrived since the last message that was answered.
	Nodes []NodeReport `json:"n,omitempty"`
}

// NodePermits are the permits of one node.
type NodePermits struct {
	Node        string   `json:"n"`
	Incarnation uint64   `json:"i"`
	Permits     []Permit `json:"p"`
}

// InstanceReply answers InstanceReport with the permits of the nodes named in it.
type InstanceReply struct {
	Nodes []NodePermits `json:"n,omitempty"`
}

// RolloutPingInterval is the interval of pings of a node that reports on a roll-out in progress.
const RolloutPingInterval = 250 * time.Millisecond
