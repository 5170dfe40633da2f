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
	KindCaller  Kind = "caller"
)

// Key identifies a resource by its kind and name.
type Key struct {
	Kind Kind   `json:"k"`
	Name string `json:"n"`
}

// Match selects the requests of a route: those that match all of its fields. An empty field matches
// every request.
type Match struct {
	// Host is compared case-insensitively and without the port.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole segments of RoutingPath.
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
	// Cluster is the name of the cluster to which requests are sent, or the first cluster of Split
	// if Split is set. A node that has the route also has all its clusters.
	Cluster string `json:"cluster"`
	// Split distributes the requests among several clusters by weight.
	Split []WeightedCluster `json:"split,omitempty"`
	// TimeoutMillis limits the duration of the whole call, including retries.
	TimeoutMillis int `json:"timeout_ms"`
	// MaxAttempts is the maximum number of dispatches of one call, including the first one.
	MaxAttempts int `json:"max_attempts"`
	// Idempotent allows retries after a dispatch that may have been executed, for all
	// methods. GET, HEAD and OPTIONS always allow them (RFC 9110, section 9.2.2).
	Idempotent bool `json:"idempotent,omitzero"`
	// AtMostOnce forbids retries after a dispatch that may have been executed, for all
	// methods including GET.
	AtMostOnce bool `json:"at_most_once,omitzero"`
	// LargeBody means that requests have large bodies. A body is sent to an endpoint only once the
	// endpoint's node has accepted the request.
	LargeBody bool `json:"large_body,omitzero"`
	// Priority orders queued calls; 0 is the most urgent.
	Priority int `json:"priority,omitzero"`
	// TargetMillis is the target latency of calls; 0 means that no target is set.
	TargetMillis int `json:"target_ms,omitzero"`
	// Anonymous admits requests without an API key although the configuration has calling teams.
	Anonymous bool `json:"anonymous,omitzero"`
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
	// RetryBudgetPercent is the maximum number of retries, as a percentage of the calls.
	RetryBudgetPercent int `json:"retry_budget_percent"`
	// SlowStartMillis is the time over which a new endpoint reaches its full weight.
	SlowStartMillis int `json:"slow_start_ms"`
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected;
	// 0 disables ejection.
	EjectAfter int `json:"eject_after"`
}

// Resource is one route, one cluster or one caller: exactly one of these fields is set.
type Resource struct {
	// Changed is the version that last changed the resource.
	Changed Version  `json:"v"`
	Route   *Route   `json:"r,omitempty"`
	Cluster *Cluster `json:"c,omitempty"`
	Caller  *Caller  `json:"t,omitempty"`
}

// Key returns the key of the resource. The key is empty if no field is set.
func (r *Resource) Key() Key {
	if r.Route != nil {
		return Key{KindRoute, r.Route.Name}
	}
	if r.Cluster != nil {
		return Key{KindCluster, r.Cluster.Name}
	}
	if r.Caller != nil {
		return Key{KindCaller, r.Caller.Name}
	}
	return Key{}
}

// Delta changes a node's configuration from one version to another. It is applied as a
// unit.
type Delta struct {
	// From is the version that the delta applies to; 0 marks a full configuration, which
	// replaces everything.
	From Version `json:"f,omitzero"`
	// To is the version that results from the delta.
	To Version `json:"t"`
	// Upserts holds the resources that are added or changed.
	Upserts []Resource `json:"u,omitempty"`
	// Removes holds the keys of the resources that are removed.
	Removes []Key `json:"d,omitempty"`
}

// EndpointState is the lifecycle state of an upstream.
type EndpointState string

// Endpoint states.
const (
	// StateStarting means that the upstream is announced but not ready.
	StateStarting EndpointState = "starting"
	StateReady    EndpointState = "ready"
	// StateDraining means that the upstream is about to leave and must be sent no new calls.
	StateDraining EndpointState = "draining"
	// StateGone marks a tombstone: the upstream was withdrawn.
	StateGone EndpointState = "gone"
)

// Endpoint is one upstream of a service. It is reached through its node.
type Endpoint struct {
	// Node is the instance name of the upstream's node.
	Node string `json:"node"`
	// Service is the name of the service that the upstream belongs to.
	Service string `json:"svc"`
	// Incarnation increases with each start of the node. Of several records of a node, the one with
	// the highest incarnation is valid.
	Incarnation uint64 `json:"inc"`
	// Revision increases with each announcement within one incarnation.
	Revision uint64 `json:"rev"`
	// Address is the IP:port of the node's listener for other nodes.
	Address string `json:"addr"`
	// AvailabilityZone is the availability zone of the node.
	AvailabilityZone string `json:"az"`
	// Region is the region of the node.
	Region string `json:"reg,omitempty"`
	// Slots is the number of calls that the upstream handles concurrently.
	Slots int           `json:"slots"`
	State EndpointState `json:"st"`
	// ReadySince is the time at which slow start begins, in Unix milliseconds of the node's clock:
	// usually the time at which the upstream became ready.
	ReadySince int64 `json:"rs,omitzero"`
	// Version is the version of the upstream's software; empty if it is not reported. Nodes get it only for services with a
	// rule of a roll-out.
	Version string `json:"ver,omitempty"`
	// Stale marks an endpoint that may be out of date: the control instance that owns its record
	// does not respond, or the lease of the record has expired or is about to expire.
	Stale bool `json:"stale,omitzero"`
}

// Newer reports whether e replaces o: e has a higher incarnation, or the same incarnation and a
// higher revision.
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
	// Min and Max bound the value of an int, the length of a string in bytes, or the number of
	// items of a list.
	Min *int64 `json:"min,omitzero"`
	Max *int64 `json:"max,omitzero"`
}

// RouteTemplate is a route with ${parameter} references in its fields. The fields for numbers and
// booleans are strings so that they can refer to parameters.
type RouteTemplate struct {
	Name string `json:"name"`
	// ForEach names a list parameter; the route is created once for each of its items. If ForEach is
	// empty, the route is created once.
	ForEach     string   `json:"for_each,omitempty"`
	Host        string   `json:"host,omitempty"`
	PathPrefix  string   `json:"path_prefix,omitempty"`
	Methods     []string `json:"methods,omitempty"`
	Cluster     string   `json:"cluster"`
	TimeoutMS   string   `json:"timeout_ms,omitempty"`
	MaxAttempts string   `json:"max_attempts,omitempty"`
	Idempotent  string   `json:"idempotent,omitzero"`
}

// ClusterTemplate is a cluster with ${parameter} references in its fields. The fields for numbers are
// strings so that they can refer to parameters.
type ClusterTemplate struct {
	Name string `json:"name"`
	// ForEach names a list parameter, as in RouteTemplate.
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
