package resource

import (
	"fmt"
	"iter"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxConfigurationBytes is the maximum size of the JSON of a whole configuration; a larger one is
// refused. 10,000 routes of 250 bytes stay below the limit, and a log entry that holds a
// configuration of this size fits into one message.
const MaxConfigurationBytes = 4 << 20

// ConfigurationTeam is the team and the organisation that own the resources of a whole configuration.
// It is not a valid name, so that no team of a template can have it.
const ConfigurationTeam = "_configuration"

// Values of the fields of clusters that a whole configuration cannot set.
const (
	configurationRetryBudgetPercent = 20
	configurationEjectAfter         = 5
	configurationSlowStartMillis    = 3000
)

// Configuration holds all routes and services. It is accepted or refused as a unit, and an accepted
// one replaces the previous configuration.
type Configuration struct {
	// Number is chosen by the operators and increases with each configuration.
	Number uint64 `json:"number"`
	// Base is the number of the configuration that this one was derived from; 0 for the
	// first configuration.
	Base     uint64              `json:"base"`
	Routes   []ConfiguredRoute   `json:"routes"`
	Services []ConfiguredService `json:"services"`
	Limits   CallerLimits        `json:"limits"`
	// Callers holds the calling teams. If there are any, a request must carry the API key of one, unless its route is
	// anonymous. Nil and empty differ only in how the configuration is read back.
	Callers []CallerTeam `json:"callers,omitzero"`
}

// ConfiguredRoute is a route of a whole configuration. It has no template references. Unless a
// comment says otherwise, its fields have the meaning of those of Route and Match.
type ConfiguredRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent allows requests to run more than once; otherwise they run at most once.
	Idempotent bool `json:"idempotent"`
	// LargeBody means that requests have large bodies.
	LargeBody     bool `json:"large_body,omitzero"`
	TimeoutMillis int  `json:"timeout_ms"`
	TargetMillis  int  `json:"target_ms"`
	Priority      int  `json:"priority"`
	MaxAttempts   int  `json:"max_attempts"`
	// Service names the service of a route with only one; otherwise Split is set.
	Service string            `json:"service,omitempty"`
	Split   []WeightedService `json:"split,omitempty"`
	// Anonymous admits requests without an API key; nil means false and is read back as nil.
	Anonymous *bool `json:"anonymous,omitzero"`
}

// WeightedService is one of the services of a route, with the weight that WeightedCluster describes.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ConfiguredService is a service that routes can refer to. Only Name affects the resources that nodes
// serve; the other fields are stored and returned.
type ConfiguredService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitzero"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls,omitzero"`
}

// CallerLimits holds limits on the size of requests and on the time that callers may take. The limits
// are stored and returned; they are not part of the resources that nodes serve.
type CallerLimits struct {
	MaxHeaderBytes      int64 `json:"max_header_bytes,omitzero"`
	MaxBodyBytes        int64 `json:"max_body_bytes,omitzero"`
	HeaderTimeoutMillis int   `json:"header_timeout_ms,omitzero"`
	IdleTimeoutMillis   int   `json:"idle_timeout_ms,omitzero"`
}

// DecodeConfiguration decodes and validates a whole configuration. The error is a
// FieldError that describes the first invalid field.
func DecodeConfiguration(body []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := DecodeWithLimit(body, MaxConfigurationBytes, c); err != nil {
		return nil, err
	}
	return c, c.Validate()
}

// Validate checks everything that does not depend on the current configuration. The
// error is a FieldError.
func (c *Configuration) Validate() error { return firstError(c.invalidFields) }

// invalidFields calls yield with each error of Validate, at most one for each service, route and calling team, until yield
// returns false.
func (c *Configuration) invalidFields(yield func(error) bool) {
	if c.Number <= c.Base && !yield(fieldErrorf("number", "%d is not above the base %d", c.Number, c.Base)) {
		return
	}
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		if err := c.Services[i].validate(i, services); err != nil && !yield(err) {
			return
		}
		services[c.Services[i].Name] = true
	}
	matchKeys := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		err := r.validate("", services)
		key := r.matchKey()
		if err != nil {
			err = r.validate(fmt.Sprintf("routes/%d", i), services)
		} else if matchKeys[key] {
			err = duplicateMatchError(fmt.Sprintf("routes/%d", i), r)
		}
		if err != nil && !yield(err) {
			return
		}
		matchKeys[key] = true
	}
	invalidCallers(c.Callers)(yield)
}

// validate checks the service at position i; names holds the names before it.
func (s *ConfiguredService) validate(i int, names map[string]bool) error {
	if s.Name == "" || len(s.Name) > MaxTextBytes {
		return fieldErrorf(fmt.Sprintf("services/%d/name", i), "must have 1 to %d bytes", MaxTextBytes)
	}
	if names[s.Name] {
		return fieldErrorf(fmt.Sprintf("services/%d/name", i), "service %q is listed twice", truncate(s.Name))
	}
	return nil
}

// firstError returns the first error of a sequence, or nil.
func firstError(list iter.Seq[error]) error {
	for err := range list {
		return err
	}
	return nil
}

// Problems returns the errors that Validate and CheckReachable find, in the order of their checks and without duplicates.
// Each check reports at most one error for each service, route and calling team.
func (c *Configuration) Problems() []*FieldError {
	var out []*FieldError
	seen := map[FieldError]bool{}
	add := func(err error) bool {
		var f *FieldError
		if errors.As(err, &f) && !seen[*f] {
			seen[*f] = true
			out = append(out, f)
		}
		return true
	}
	c.invalidFields(add)
	c.unreachableFields(add)
	return out
}

func (r *ConfiguredRoute) validate(field string, services map[string]bool) error {
	switch {
	case r.Host == "" || len(r.Host) > MaxTextBytes:
		return fieldErrorf(field+"/host", "must have 1 to %d bytes", MaxTextBytes)
	case !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > MaxTextBytes:
		return fieldErrorf(field+"/path_prefix", "must begin with / and have at most %d bytes", MaxTextBytes)
	case r.TimeoutMillis < 1 || r.TimeoutMillis > MaxTimeoutMillis:
		return fieldErrorf(field+"/timeout_ms", "%d is outside 1..%d", r.TimeoutMillis, MaxTimeoutMillis)
	case r.TargetMillis < 0 || r.MaxAttempts < 0:
		return fieldErrorf(field, "a number is negative")
	case (r.Service == "") == (len(r.Split) == 0):
		return fieldErrorf(field+"/service", "either one service or a split must be given")
	case r.Service != "" && !services[r.Service]:
		return fieldErrorf(field+"/service", "service %q is unknown", truncate(r.Service))
	}
	sum := 0
	for _, p := range r.Split {
		if !services[p.Service] {
			return fieldErrorf(field+"/split", "service %q is unknown", truncate(p.Service))
		}
		if p.Weight < 0 {
			return fieldErrorf(field+"/split", "weight %d is negative", p.Weight)
		}
		sum += p.Weight
	}
	if len(r.Split) > 0 && sum == 0 {
		return fieldErrorf(field+"/split", "all weights are 0")
	}
	return nil
}

// CheckReachable returns a FieldError for the first route that no request could reach: its prefix is not the path of a request,
// or matches the same paths as that of another route. Orders are checked before they are proposed; the state machine
// does not check this, so that instances of all versions decide alike.
func (c *Configuration) CheckReachable() error { return firstError(c.unreachableFields) }

// unreachableFields calls yield with each error of CheckReachable, at most one for each route, until yield returns false.
func (c *Configuration) unreachableFields(yield func(error) bool) {
	matches := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		if err := c.Routes[i].checkReachable(i, matches); err != nil && !yield(err) {
			return
		}
	}
}

// checkReachable checks the route at position i and adds what it matches to matches, which holds that of the routes before it.
func (r *ConfiguredRoute) checkReachable(i int, matches map[string]bool) error {
	prefix, err := RoutingPrefix(r.PathPrefix)
	if err != nil {
		return fieldErrorf(fmt.Sprintf("routes/%d/path_prefix", i), "%v", err)
	}
	key := strings.ToLower(r.Host) + prefix
	if matches[key] {
		return duplicateMatchError(fmt.Sprintf("routes/%d", i), r)
	}
	matches[key] = true
	if r.Priority < 0 {
		return fieldErrorf(fmt.Sprintf("routes/%d/priority", i), "%d is negative", r.Priority)
	}
	return nil
}

// duplicateMatchError returns the error for a route that has the same host and path prefix as another
// route.
func duplicateMatchError(field string, r *ConfiguredRoute) error {
	return fieldErrorf(field, "host %q and prefix %q belong to another route", truncate(r.Host), truncate(r.PathPrefix))
}

// matchKey identifies the requests that the route matches.
func (r *ConfiguredRoute) matchKey() string { return strings.ToLower(r.Host) + r.PathPrefix }

// Key returns the key of the route that Expand returns.
func (r *ConfiguredRoute) Key() Key {
	return Key{Kind: KindRoute, Name: ConfigurationTeam + "/" + r.matchKey()}
}

// Expand returns the routes, clusters and callers that nodes hold. The configuration must be
// valid. The result depends only on the configuration.
func (c *Configuration) Expand() *Expansion {
	out := &Expansion{Callers: c.ExpandCallers()}
	for i := range c.Services {
		out.Clusters = append(out.Clusters, &Cluster{
			Name: clusterName(c.Services[i].Name), Organisation: ConfigurationTeam, Team: ConfigurationTeam,
			Service: c.Services[i].Name, RetryBudgetPercent: configurationRetryBudgetPercent,
			EjectAfter: configurationEjectAfter, SlowStartMillis: configurationSlowStartMillis,
		})
	}
	for i := range c.Routes {
		out.Routes = append(out.Routes, c.Routes[i].Expand())
	}
	sort.Slice(out.Routes, func(i, j int) bool { return out.Routes[i].Name < out.Routes[j].Name })
	sort.Slice(out.Clusters, func(i, j int) bool { return out.Clusters[i].Name < out.Clusters[j].Name })
	return out
}

// Expand returns the route that nodes serve.
func (r *ConfiguredRoute) Expand() *Route {
	route := &Route{
		Name: r.Key().Name, Organisation: ConfigurationTeam, Team: ConfigurationTeam,
		Match:         Match{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix},
		TimeoutMillis: r.TimeoutMillis, TargetMillis: r.TargetMillis, Priority: r.Priority,
		MaxAttempts: max(r.MaxAttempts, 1), Idempotent: r.Idempotent, AtMostOnce: !r.Idempotent, LargeBody: r.LargeBody,
		Anonymous: valueOrZero(r.Anonymous),
	}
	if r.Service != "" {
		route.Cluster = clusterName(r.Service)
		return route
	}
	for _, p := range r.Split {
		if p.Weight > 0 {
			route.Split = append(route.Split, WeightedCluster{Cluster: clusterName(p.Service), Weight: p.Weight})
		}
	}
	route.Cluster = route.Split[0].Cluster
	if len(route.Split) == 1 {
		route.Split = nil
	}
	return route
}

func clusterName(service string) string { return ConfigurationTeam + "/" + service }
