package resource

import (
	"fmt"
	"sort"
	"strings"
)

// MaxConfigurationBytes bounds the JSON of a whole configuration. 10,000 routes of
// 250 bytes stay below it, and a log entry that holds it fits one message.
const MaxConfigurationBytes = 4 << 20

// ConfigurationTeam owns the resources of the whole configuration. It is no valid
// team name, so that no team of a template can have it.
const ConfigurationTeam = "_configuration"

// Values of clusters that a whole configuration does not state.
const (
	configurationRetryPercent = 20
	configurationEjectAfter   = 5
	configurationSlowStart    = 3000
)

// Configuration is everything that one group of operators accepts as a unit: all
// routes and services. It takes the place of the one before.
type Configuration struct {
	// Number is chosen by the operators and rises from one to the next.
	Number uint64 `json:"number"`
	// Base is the number of the configuration that this one was derived from; 0
	// for the first one.
	Base     uint64              `json:"base"`
	Routes   []ConfiguredRoute   `json:"routes"`
	Services []ConfiguredService `json:"services"`
	Limits   CallerLimits        `json:"limits"`
}

// ConfiguredRoute is a route in its final form.
type ConfiguredRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Idempotent requests may run more than once; all others at most once.
	Idempotent    bool `json:"idempotent"`
	TimeoutMillis int  `json:"timeout_ms"`
	TargetMillis  int  `json:"target_ms"`
	Priority      int  `json:"priority"`
	MaxAttempts   int  `json:"max_attempts"`
	// Service is set, or Split.
	Service string         `json:"service,omitempty"`
	Split   []ServiceShare `json:"split,omitempty"`
}

// ServiceShare is the part of a route's requests that goes to one service.
type ServiceShare struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ConfiguredService is a service that routes may name.
type ConfiguredService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections,omitzero"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls,omitzero"`
}

// CallerLimits bounds what callers may send and how long they may be idle.
type CallerLimits struct {
	MaxHeaderBytes      int64 `json:"max_header_bytes,omitzero"`
	MaxBodyBytes        int64 `json:"max_body_bytes,omitzero"`
	HeaderTimeoutMillis int   `json:"header_timeout_ms,omitzero"`
	IdleTimeoutMillis   int   `json:"idle_timeout_ms,omitzero"`
}

// DecodeConfiguration decodes and validates a whole configuration. The error is a
// FieldError and describes the first fault only.
func DecodeConfiguration(body []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := DecodeLimit(body, MaxConfigurationBytes, c); err != nil {
		return nil, err
	}
	return c, c.Validate()
}

// Validate checks all that does not depend on the configuration in force. The
// error is a FieldError.
func (c *Configuration) Validate() error {
	if c.Number <= c.Base {
		return invalid("number", "%d is not above the base %d", c.Number, c.Base)
	}
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		field := fmt.Sprintf("services/%d/name", i)
		if s.Name == "" || len(s.Name) > MaxTextBytes {
			return invalid(field, "must have 1 to %d bytes", MaxTextBytes)
		}
		if services[s.Name] {
			return invalid(field, "service %q is listed twice", clip(s.Name))
		}
		services[s.Name] = true
	}
	places := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate("", services); err != nil {
			return r.validate(fmt.Sprintf("routes/%d", i), services)
		}
		place := r.place()
		if places[place] {
			return errPlace(fmt.Sprintf("routes/%d", i), r)
		}
		places[place] = true
	}
	return nil
}

func (r *ConfiguredRoute) validate(field string, services map[string]bool) error {
	switch {
	case r.Host == "" || len(r.Host) > MaxTextBytes:
		return invalid(field+"/host", "must have 1 to %d bytes", MaxTextBytes)
	case !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > MaxTextBytes:
		return invalid(field+"/path_prefix", "must begin with / and have at most %d bytes", MaxTextBytes)
	case r.TimeoutMillis < 1 || r.TimeoutMillis > MaxTimeoutMillis:
		return invalid(field+"/timeout_ms", "%d is outside 1..%d", r.TimeoutMillis, MaxTimeoutMillis)
	case r.TargetMillis < 0 || r.MaxAttempts < 0:
		return invalid(field, "a number is negative")
	case (r.Service == "") == (len(r.Split) == 0):
		return invalid(field+"/service", "either one service or a split must be given")
	case r.Service != "" && !services[r.Service]:
		return invalid(field+"/service", "service %q is unknown", clip(r.Service))
	}
	sum := 0
	for _, p := range r.Split {
		if !services[p.Service] {
			return invalid(field+"/split", "service %q is unknown", clip(p.Service))
		}
		if p.Weight < 0 {
			return invalid(field+"/split", "weight %d is negative", p.Weight)
		}
		sum += p.Weight
	}
	if len(r.Split) > 0 && sum == 0 {
		return invalid(field+"/split", "all weights are 0")
	}
	return nil
}

// errPlace reports a route whose requests belong to another one.
func errPlace(field string, r *ConfiguredRoute) error {
	return invalid(field, "host %q and prefix %q belong to another route", clip(r.Host), clip(r.PathPrefix))
}

// place identifies the requests that a route takes.
func (r *ConfiguredRoute) place() string { return strings.ToLower(r.Host) + r.PathPrefix }

// Key names the route that Expand makes of it.
func (r *ConfiguredRoute) Key() Key {
	return Key{Kind: KindRoute, Name: ConfigurationTeam + "/" + r.place()}
}

// Expand returns the routes and clusters that nodes hold. The configuration is
// valid. The result depends on nothing else.
func (c *Configuration) Expand() *Expansion {
	out := &Expansion{}
	for i := range c.Services {
		out.Clusters = append(out.Clusters, &Cluster{
			Name: clusterOf(c.Services[i].Name), Organisation: ConfigurationTeam, Team: ConfigurationTeam,
			Service: c.Services[i].Name, RetryBudgetPercent: configurationRetryPercent,
			EjectAfter: configurationEjectAfter, SlowStartMillis: configurationSlowStart,
		})
	}
	for i := range c.Routes {
		out.Routes = append(out.Routes, c.Routes[i].Expand())
	}
	sort.Slice(out.Routes, func(i, j int) bool { return out.Routes[i].Name < out.Routes[j].Name })
	sort.Slice(out.Clusters, func(i, j int) bool { return out.Clusters[i].Name < out.Clusters[j].Name })
	return out
}

// Expand returns the route that nodes hold.
func (r *ConfiguredRoute) Expand() *Route {
	x := &Route{
		Name: r.Key().Name, Organisation: ConfigurationTeam, Team: ConfigurationTeam,
		Match:         Match{Host: strings.ToLower(r.Host), PathPrefix: r.PathPrefix},
		TimeoutMillis: r.TimeoutMillis, TargetMillis: r.TargetMillis, Priority: r.Priority,
		MaxAttempts: max(r.MaxAttempts, 1), Idempotent: r.Idempotent, AtMostOnce: !r.Idempotent,
	}
	if r.Service != "" {
		x.Cluster = clusterOf(r.Service)
		return x
	}
	for _, p := range r.Split {
		if p.Weight > 0 {
			x.Split = append(x.Split, Share{Cluster: clusterOf(p.Service), Weight: p.Weight})
		}
	}
	x.Cluster = x.Split[0].Cluster
	if len(x.Split) == 1 {
		x.Split = nil
	}
	return x
}

func clusterOf(service string) string { return ConfigurationTeam + "/" + service }
