// Package resource defines the configuration that operators submit, the
// resources that nodes serve, and the rules that keep them consistent. It does
// no I/O and knows no message encoding beyond JSON field names.
package resource

import (
	"time"

	"github.com/go-json-experiment/json/jsontext"
)

// Version is the number of an accepted configuration. It increases by one with each
// accepted change and is the same on every instance. 0 means no configuration.
type Version uint64

// Kind is the type of a resource.
type Kind string

// Kinds of resources.
const (
	KindRoute   Kind = "route"
	KindCluster Kind = "cluster"
)

// Key identifies a resource by its kind and name.
type Key struct {
	Kind Kind   `json:"k"`
	Name string `json:"n"`
}

// Match selects the requests of a route. An empty field matches all requests.
type Match struct {
	// Host is compared case-insensitively and without the port.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists HTTP methods in upper case.
	Methods []string `json:"methods,omitempty"`
}

// Route sends matching requests to a cluster. Names have the form "team/name" and are
// unique in the fleet.
type Route struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Team         string `json:"team"`
	Match        Match  `json:"match"`
	// Cluster is the name of the cluster. A node that has the route also has the cluster.
	// If Split is set, Cluster is the first cluster of Split.
	Cluster string `json:"cluster"`
	// Split distributes the requests among several clusters by weight.
	Split []WeightedCluster `json:"split,omitempty"`
	// TimeoutMillis limits the duration of the whole call, including retries.
	TimeoutMillis int `json:"timeout_ms"`
	// MaxAttempts limits the number of dispatches of one call, including the first.
	MaxAttempts int `json:"max_attempts"`
	// Idempotent allows retries after a dispatch that may have been executed, for all
	// methods. GET, HEAD and OPTIONS always allow them (RFC 9110, section 9.2.2).
	Idempotent bool `json:"idempotent,omitzero"`
	// AtMostOnce forbids retries after a dispatch that may have been executed, for all
	// methods including GET.
	AtMostOnce bool `json:"at_most_once,omitzero"`
	// Priority orders queued calls; 0 is the most urgent.
	Priority int `json:"priority,omitzero"`
	// TargetMillis is the target latency of calls; 0 means that no target is set.
	TargetMillis int `json:"target_ms,omitzero"`
}

// WeightedCluster is a cluster of a route and its weight.
type WeightedCluster struct {
	Cluster string `json:"cluster"`
	// Weight divided by the sum of the route's weights is the fraction of requests that the
	// cluster receives.
	Weight int `json:"weight"`
}

// Target returns the target latency of calls; 0 means that no target is set.
func (r *Route) Target() time.Duration { return time.Duration(r.TargetMillis) * time.Millisecond }

// Timeout returns the timeout of the whole call, including retries.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMillis) * time.Millisecond }

// Cluster defines how a team's routes reach one service. Names have the form "team/name"
// and are unique in the fleet.
type Cluster struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	Team         string `json:"team"`
	// Service is the name of the service, which is also the name of its endpoint set.
	Service string `json:"service"`
	// RetryBudgetPercent limits retries to a percentage of the calls.
	RetryBudgetPercent int `json:"retry_budget_percent"`
	// SlowStartMillis is the time over which a new endpoint reaches its full weight.
	SlowStartMillis int `json:"slow_start_ms"`
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected;
	// 0 disables ejection.
	EjectAfter int `json:"eject_after"`
}

// Resource is one route or one cluster with the version that last changed it.
type Resource struct {
	Changed Version  `json:"v"`
	Route   *Route   `json:"r,omitempty"`
	Cluster *Cluster `json:"c,omitempty"`
}

// Key returns the key of the resource; it is empty if neither field is set.
func (r *Resource) Key() Key {
	if r.Route != nil {
		return Key{KindRoute, r.Route.Name}
	}
	if r.Cluster != nil {
		return Key{KindCluster, r.Cluster.Name}
	}
	return Key{}
}

// Delta changes a node's configuration from one version to another. It is applied as a
// unit.
type Delta struct {
	// From is the version that the delta applies to; 0 marks a full configuration, which
	// replaces everything.
	From Version `json:"f,omitzero"`
	// To is the version after the delta was applied.
	To      Version    `json:"t"`
	Upserts []Resource `json:"u,omitempty"`
	Removes []Key      `json:"d,omitempty"`
}

// EndpointState is the lifecycle state of an upstream.
type EndpointState string

// Endpoint states.
const (
	StateStarting EndpointState = "starting"
	StateReady    EndpointState = "ready"
	StateDraining EndpointState = "draining"
	// StateGone marks a tombstone: the upstream was withdrawn or its lease expired.
	StateGone EndpointState = "gone"
)

// Endpoint is one upstream of a service. It is reached through its node.
type Endpoint struct {
	// Node is the instance name of the upstream's node.
	Node string `json:"node"`
	// Service is the service of the upstream.
	Service string `json:"svc"`
	// Incarnation increases with each start of the node; the highest one wins.
	Incarnation uint64 `json:"inc"`
	// Revision increases with each change within one incarnation.
	Revision uint64 `json:"rev"`
	// Address is the IP:port of the node's listener for other nodes.
	Address          string        `json:"addr"`
	AvailabilityZone string        `json:"az"`
	Region           string        `json:"reg,omitempty"`
	Slots            int           `json:"slots"`
	State            EndpointState `json:"st"`
	// ReadySince is the time at which the upstream became ready, in Unix milliseconds of its
	// node's clock. Slow start begins at this time.
	ReadySince int64 `json:"rs,omitzero"`
	// Stale marks a record whose owning control instance does not respond.
	Stale bool `json:"stale,omitzero"`
}

// Newer reports whether e replaces o: a higher incarnation, or a higher
// revision within the same one.
func (e *Endpoint) Newer(o *Endpoint) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.Revision > o.Revision
}

// EndpointSet holds the endpoints of one service, sorted by node name. A service without
// endpoints has an empty set, which differs from having no set.
type EndpointSet struct {
	Service   string     `json:"svc"`
	Endpoints []Endpoint `json:"eps"`
}

// ParameterType is the type of a template parameter.
type ParameterType string

// Parameter types.
const (
	TypeString ParameterType = "string"
	TypeInt    ParameterType = "int"
	TypeBool   ParameterType = "bool"
	// TypeList is a list of strings; a resource with "for_each" is created once for each item.
	TypeList ParameterType = "list"
)

// Parameter declares one parameter of a template.
type Parameter struct {
	Type ParameterType `json:"type"`
	// Default is used when a team does not set the parameter; without a default the
	// parameter is required.
	Default jsontext.Value `json:"default,omitzero"`
	// Min and Max bound the value of an int, or the length of a string or list.
	Min *int64 `json:"min,omitzero"`
	Max *int64 `json:"max,omitzero"`
}

// RouteTemplate is a route with ${parameter} references in its text fields.
// Numeric fields are strings so that they can refer to parameters.
type RouteTemplate struct {
	Name        string   `json:"name"`
	ForEach     string   `json:"for_each,omitempty"`
	Host        string   `json:"host,omitempty"`
	PathPrefix  string   `json:"path_prefix,omitempty"`
	Methods     []string `json:"methods,omitempty"`
	Cluster     string   `json:"cluster"`
	TimeoutMS   string   `json:"timeout_ms,omitempty"`
	MaxAttempts string   `json:"max_attempts,omitempty"`
	Idempotent  string   `json:"idempotent,omitzero"`
}

// ClusterTemplate is a cluster with ${parameter} references in its text fields.
type ClusterTemplate struct {
	Name               string `json:"name"`
	ForEach            string `json:"for_each,omitempty"`
	Service            string `json:"service"`
	RetryBudgetPercent string `json:"retry_budget_percent,omitempty"`
	SlowStartMS        string `json:"slow_start_ms,omitempty"`
	EjectAfter         string `json:"eject_after,omitempty"`
}

// Template defines the routes and clusters of many teams.
type Template struct {
	Name       string               `json:"name"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Routes     []RouteTemplate      `json:"routes,omitempty"`
	Clusters   []ClusterTemplate    `json:"clusters,omitempty"`
}

// Team names the template of one team of an organisation and sets its parameters.
type Team struct {
	Name         string                    `json:"name"`
	Organisation string                    `json:"organisation"`
	Template     string                    `json:"template"`
	Parameters   map[string]jsontext.Value `json:"parameters,omitempty"`
}
