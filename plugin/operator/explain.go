package operator

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/httpcall"
	"github.com/celeryyard/celeryyard/core/resource"
)

type routeView struct {
	freshness
	Found   bool              `json:"found"`
	Text    string            `json:"text"`
	Route   *resource.Route   `json:"route,omitempty"`
	Cluster *resource.Cluster `json:"cluster,omitempty"`
	// KeyRequired means that a request of the route must carry the API key of a calling team.
	KeyRequired bool `json:"key_required,omitzero"`
	// Caller is the calling team that the query names.
	Caller *callerView `json:"caller,omitempty"`
	// Costs holds the expected work at the services whose endpoints have reported it lately.
	Costs []costView `json:"expected_work,omitempty"`
	// Endpoints is absent if this instance does not run the discovery plug-in.
	Endpoints []resource.Endpoint `json:"endpoints,omitempty"`
}

// costView is the expected work of a request at a service: the median over the endpoints of the mean durations of requests
// with the same priority and target, without the time in queues.
type costView struct {
	Service string `json:"service"`
	Millis  int64  `json:"ms"`
}

type decisionView struct {
	freshness
	Record change.Record `json:"record"`
	Advice string        `json:"advice,omitempty"`
}

// getExplain explains how a request is routed (query parameters method, host and path, and caller for a calling team) or how
// a change was decided (query parameter change).
func (o *Operator) getExplain(e echo.Context) error {
	who := identityFromContext(e)
	if id := e.QueryParam("change"); id != "" {
		return o.explainChange(e, who, id)
	}
	method, host, path := e.QueryParam("method"), e.QueryParam("host"), e.QueryParam("path")
	if method == "" || host == "" || path == "" {
		return writeResponse(e, errorResponse(http.StatusBadRequest, "either change, or method, host and path are required"))
	}
	callerName := e.QueryParam("caller")
	return o.serveRead(e, func(f freshness) response {
		v := o.explainRoute(f, who, method, host, path)
		if callerName != "" {
			if v.Caller = o.findCaller(callerName); v.Caller == nil {
				return errorResponse(http.StatusNotFound, "the configuration in force has no calling team of this name")
			}
		}
		return response{http.StatusOK, v}
	})
}

func (o *Operator) explainChange(e echo.Context, who Identity, id string) error {
	return o.serveRead(e, func(f freshness) response {
		rec, ok := o.catalog.Record(id)
		if !ok || rec.Organisation != who.Organisation {
			return errorResponse(http.StatusNotFound, "no decision about this change is known")
		}
		return response{http.StatusOK, decisionView{f, redact(rec, who), change.Advice(rec.Outcome.Reason)}}
	})
}

// explainRoute searches the routes of the operator's organisation and then those of the whole
// configuration, which all organisations share. No other route can match, because a host belongs to
// one organisation.
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
		v.Endpoints = o.routeEndpoints(r, clusters)
		v.Costs = o.expectedWork(r, clusters)
		if c := o.catalog.Configuration(); c != nil {
			v.KeyRequired = len(c.Callers) > 0 && !r.Anonymous
		}
		return v
	}
	v.Text = "no route of your organisation matches"
	return v
}

// routeEndpoints returns the endpoints of all services that a route sends requests to, or nil if
// this instance does not run the discovery plug-in.
func (o *Operator) routeEndpoints(r *resource.Route, clusters map[string]*resource.Cluster) []resource.Endpoint {
	if o.discovery == nil {
		return nil
	}
	var list []resource.Endpoint
	for _, service := range routeServices(r, clusters) {
		list = append(list, o.discovery.EndpointSet(service).Endpoints...)
	}
	return list
}

// routeServices returns the services that a route sends requests to, without duplicates.
func routeServices(r *resource.Route, clusters map[string]*resource.Cluster) []string {
	names := []string{r.Cluster}
	if len(r.Split) > 0 { // in a split route, Cluster repeats the first cluster of Split
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

// expectedWork returns the expected work of a request of a route at each of its services, as far as it is known.
func (o *Operator) expectedWork(r *resource.Route, clusters map[string]*resource.Cluster) []costView {
	if o.capacity == nil {
		return nil
	}
	class := (&httpcall.Call{Priority: r.Priority, TargetLatency: r.Target()}).Class()
	var costs []costView
	for _, service := range routeServices(r, clusters) {
		if work := o.capacity.MeanWork(service, class); work > 0 {
			costs = append(costs, costView{service, work.Milliseconds()})
		}
	}
	return costs
}
