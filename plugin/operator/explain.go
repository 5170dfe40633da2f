package operator

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

type routeView struct {
	freshness
	Found   bool              `json:"found"`
	Text    string            `json:"text"`
	Route   *resource.Route   `json:"route,omitempty"`
	Cluster *resource.Cluster `json:"cluster,omitempty"`
	// Endpoints is absent when this instance has no discovery.
	Endpoints []resource.Endpoint `json:"endpoints,omitempty"`
}

type refusalView struct {
	freshness
	Record change.Record `json:"record"`
	Advice string        `json:"advice,omitempty"`
}

// getExplain explains the way of a request (method, host, path) or the decision
// of a change (change).
func (o *Operator) getExplain(e echo.Context) error {
	who := identity(e)
	if id := e.QueryParam("change"); id != "" {
		return o.explainChange(e, who, id)
	}
	method, host, path := e.QueryParam("method"), e.QueryParam("host"), e.QueryParam("path")
	if method == "" || host == "" || path == "" {
		return write(e, fail(http.StatusBadRequest, "either change, or method, host and path are required"))
	}
	return o.read(e, func(f freshness) answer {
		return answer{http.StatusOK, o.explainRoute(f, who, method, host, path)}
	})
}

func (o *Operator) explainChange(e echo.Context, who Identity, id string) error {
	return o.read(e, func(f freshness) answer {
		rec, ok := o.catalog.Record(id)
		if !ok || rec.Organisation != who.Organisation {
			return fail(http.StatusNotFound, "no decision about this change is known")
		}
		return answer{http.StatusOK, refusalView{f, redact(rec, who), change.Advice(rec.Outcome.Reason)}}
	})
}

// explainRoute looks among the routes of the operator's organisation and, as these are
// shared, among those of the whole configuration. That is the whole truth, because a
// host belongs to one organisation.
func (o *Operator) explainRoute(f freshness, who Identity, method, host, path string) routeView {
	v := routeView{freshness: f}
	for _, owner := range [...]string{who.Organisation, resource.ConfigurationTeam} {
		routes, clusters := o.catalog.Routes(owner)
		r := resource.NewRouteTable(routes).Find(method, host, path)
		if r == nil {
			continue
		}
		v.Found, v.Route, v.Cluster = true, r, clusters[r.Cluster]
		v.Text = "the longest matching path prefix decides, then routes that name methods, then the name"
		v.Endpoints = o.endpointsOf(r, clusters)
		return v
	}
	v.Text = "no route of your organisation matches"
	return v
}

// endpointsOf returns the endpoints of all services that a route leads to; nil when this
// instance has no discovery.
func (o *Operator) endpointsOf(r *resource.Route, clusters map[string]*resource.Cluster) []resource.Endpoint {
	if o.discovery == nil {
		return nil
	}
	var list []resource.Endpoint
	for _, service := range servicesOf(r, clusters) {
		list = append(list, o.discovery.Set(service).Endpoints...)
	}
	return list
}

// servicesOf returns the services that a route leads to, each once.
func servicesOf(r *resource.Route, clusters map[string]*resource.Cluster) []string {
	names := []string{r.Cluster}
	if len(r.Split) > 0 { // Cluster is its first part
		names = nil
	}
	for _, p := range r.Split {
		names = append(names, p.Cluster)
	}
	var services []string
	for _, name := range names {
		if c := clusters[name]; c != nil && !slices.Contains(services, c.Service) {
			services = append(services, c.Service)
		}
	}
	return services
}
