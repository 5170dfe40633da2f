package resource

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// resourceOverheadBytes is added to the text size of each resource to account for its
// numbers and field names.
const resourceOverheadBytes = 128

// Expansion holds the routes and clusters that result from a template or from a whole configuration.
// Both are sorted by name.
type Expansion struct {
	Routes   []*Route
	Clusters []*Cluster
	// Callers is nil for teams that own routes.
	Callers []*Caller
}

// Expand applies the parameters of a team to a template. Both must be valid, and the result depends
// only on them. The error is a FieldError that names the field of the template or the parameter of
// the team. Expand stops with an error above MaxTeamResources or MaxTeamBytes, so that a small template
// cannot cause unlimited work.
func Expand(t *Template, team *Team) (*Expansion, error) {
	x := &expander{team: team, clusters: map[string]bool{}, routes: map[string]bool{}, matches: map[string]string{}}
	if err := x.resolve(t); err != nil {
		return nil, err
	}
	for i := range t.Clusters {
		c := &t.Clusters[i]
		if err := x.forEachItem(fmt.Sprintf("clusters/%d", i), c.ForEach, func(field string) error { return x.addCluster(field, c) }); err != nil {
			return nil, err
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := x.forEachItem(fmt.Sprintf("routes/%d", i), r.ForEach, func(field string) error { return x.addRoute(field, r) }); err != nil {
			return nil, err
		}
	}
	sort.Slice(x.out.Routes, func(i, j int) bool { return x.out.Routes[i].Name < x.out.Routes[j].Name })
	sort.Slice(x.out.Clusters, func(i, j int) bool { return x.out.Clusters[i].Name < x.out.Clusters[j].Name })
	return &x.out, nil
}

// expander holds the state of one expansion.
type expander struct {
	team   *Team
	values map[string]parameterValue
	// item is the current item of for_each.
	item string
	out  Expansion
	// sizeBytes is the size of out so far.
	sizeBytes int
	// clusters and routes hold the names in out, without the team.
	clusters, routes map[string]bool
	// matches maps host, path prefix and method to the name of the route that matches them.
	matches map[string]string
}

// resolve computes the value of every parameter.
func (x *expander) resolve(t *Template) error {
	x.values = map[string]parameterValue{refTeam: {text: x.team.Name}, refOrganisation: {text: x.team.Organisation}}
	for _, name := range sortedKeys(x.team.Parameters) {
		if _, ok := t.Parameters[name]; !ok {
			return fieldErrorf("parameters/"+name, "template %q has no such parameter", t.Name)
		}
	}
	for _, name := range sortedKeys(t.Parameters) {
		p := t.Parameters[name]
		given, ok := x.team.Parameters[name]
		if !ok {
			given = p.Default
		}
		if len(given) == 0 {
			return fieldErrorf("parameters/"+name, "is required by template %q", t.Name)
		}
		v, err := p.decode("parameters/"+name, given)
		if err != nil {
			return err
		}
		x.values[name] = v
	}
	return nil
}

// forEachItem calls f once for each item of the list parameter named forEach, or only once if forEach
// is empty.
func (x *expander) forEachItem(field, forEach string, f func(field string) error) error {
	if forEach == "" {
		return f(field)
	}
	for _, item := range x.values[forEach].items {
		x.item = item
		if err := f(field); err != nil {
			return err
		}
	}
	return nil
}

func (x *expander) addCluster(field string, t *ClusterTemplate) error {
	r := &fieldExpander{expander: x, field: field}
	c := &Cluster{
		Name: r.expandName("name", t.Name), Organisation: x.team.Organisation, Team: x.team.Name,
		Service:            r.expandName("service", t.Service),
		RetryBudgetPercent: r.expandInt("retry_budget_percent", t.RetryBudgetPercent, DefaultRetryBudgetPercent, 0, MaxRetryBudgetPercent),
		SlowStartMillis:    r.expandInt("slow_start_ms", t.SlowStartMS, DefaultSlowStartMillis, 0, MaxSlowStartMillis),
		EjectAfter:         r.expandInt("eject_after", t.EjectAfter, DefaultEjectAfter, 0, MaxEjectAfter),
	}
	if r.err != nil {
		return r.err
	}
	if x.clusters[c.Name] {
		return fieldErrorf(field+"/name", "cluster %q exists twice", c.Name)
	}
	x.clusters[c.Name] = true
	c.Name = x.team.Name + "/" + c.Name
	x.out.Clusters = append(x.out.Clusters, c)
	return x.addSize(field, len(c.Name)+len(c.Organisation)+len(c.Team)+len(c.Service))
}

func (x *expander) addRoute(field string, t *RouteTemplate) error {
	r := &fieldExpander{expander: x, field: field}
	route := &Route{
		Name: r.expandName("name", t.Name), Organisation: x.team.Organisation, Team: x.team.Name,
		Match:         Match{Host: r.expandHost("host", t.Host), PathPrefix: r.expandPath("path_prefix", t.PathPrefix), Methods: r.expandMethods(t.Methods)},
		Cluster:       r.expandName("cluster", t.Cluster),
		TimeoutMillis: r.expandInt("timeout_ms", t.TimeoutMS, DefaultTimeoutMillis, 1, MaxTimeoutMillis),
		MaxAttempts:   r.expandInt("max_attempts", t.MaxAttempts, DefaultMaxAttempts, 1, MaxAttempts),
		Idempotent:    r.expandBool("idempotent", t.Idempotent),
	}
	if r.err != nil {
		return r.err
	}
	if x.routes[route.Name] {
		return fieldErrorf(field+"/name", "route %q exists twice", route.Name)
	}
	x.routes[route.Name] = true
	if !x.clusters[route.Cluster] {
		return fieldErrorf(field+"/cluster", "team %q has no cluster %q", x.team.Name, route.Cluster)
	}
	if err := x.claimMatches(field, route); err != nil {
		return err
	}
	route.Name, route.Cluster = x.team.Name+"/"+route.Name, x.team.Name+"/"+route.Cluster
	x.out.Routes = append(x.out.Routes, route)
	m := &route.Match
	return x.addSize(field, len(route.Name)+len(route.Organisation)+len(route.Team)+len(route.Cluster)+
		len(m.Host)+len(m.PathPrefix)+len(strings.Join(m.Methods, ",")))
}

// claimMatches records the requests that a route matches. It returns an error if another route of the
// team matches the same requests with the same precedence, because one of the two would never be
// used.
func (x *expander) claimMatches(field string, r *Route) error {
	methods := r.Match.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, m := range methods {
		key := r.Match.Host + " " + strings.TrimSuffix(r.Match.PathPrefix, "/") + " " + m
		if other, ok := x.matches[key]; ok {
			return fieldErrorf(field, "route %q matches the same requests as route %q", r.Name, other)
		}
		x.matches[key] = r.Name
	}
	return nil
}

func (x *expander) addSize(field string, bytes int) error {
	x.sizeBytes += bytes + resourceOverheadBytes
	if n := len(x.out.Routes) + len(x.out.Clusters); n > MaxTeamResources {
		return fieldErrorf(field, "expansion has more than %d resources", MaxTeamResources)
	}
	if x.sizeBytes > MaxTeamBytes {
		return fieldErrorf(field, "expansion has more than %d bytes", MaxTeamBytes)
	}
	return nil
}

// substitute replaces the references in s by their values. References in the values are not replaced.
func (x *expander) substitute(field, s string) (string, error) {
	var b strings.Builder
	err := forEachReference(field, s, func(literal, ref string) error {
		b.WriteString(literal)
		switch ref {
		case "":
		case refItem:
			b.WriteString(x.item)
		default:
			b.WriteString(x.values[ref].text)
		}
		if b.Len() > MaxTextBytes {
			return fieldErrorf(field, "expands to more than %d bytes", MaxTextBytes)
		}
		return nil
	})
	return b.String(), err
}

// fieldExpander expands the fields of one resource. After the first error, which it records in err,
// its methods return unusable values.
type fieldExpander struct {
	expander *expander
	field    string
	err      error
}

func (r *fieldExpander) expandText(name, s string) string {
	if r.err != nil {
		return ""
	}
	s, r.err = r.expander.substitute(r.field+"/"+name, s)
	return s
}

func (r *fieldExpander) expandName(name, s string) string {
	s = r.expandText(name, s)
	if r.err == nil {
		r.err = CheckName(r.field+"/"+name, s)
	}
	return s
}

func (r *fieldExpander) expandInt(name, s string, defaultValue, minValue, maxValue int) int {
	s = r.expandText(name, s)
	if r.err != nil || s == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < minValue || n > maxValue {
		r.err = fieldErrorf(r.field+"/"+name, "%q is not a whole number in %d..%d", truncate(s), minValue, maxValue)
	}
	return n
}

func (r *fieldExpander) expandBool(name, s string) bool {
	s = r.expandText(name, s)
	if r.err == nil && s != "" && s != "true" && s != "false" {
		r.err = fieldErrorf(r.field+"/"+name, "%q is not true or false", truncate(s))
	}
	return s == "true"
}

func (r *fieldExpander) expandHost(name, s string) string {
	s = strings.ToLower(r.expandText(name, s))
	if r.err == nil {
		r.err = checkHost(r.field+"/"+name, s)
	}
	return s
}

func (r *fieldExpander) expandPath(name, s string) string {
	s = r.expandText(name, s)
	if r.err == nil {
		r.err = checkPath(r.field+"/"+name, s)
	}
	return s
}

func (r *fieldExpander) expandMethods(methods []string) []string {
	var out []string
	for i, m := range methods {
		name := fmt.Sprintf("methods/%d", i)
		m = r.expandText(name, m)
		if r.err == nil && (m == "" || len(m) > 32 || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			r.err = fieldErrorf(r.field+"/"+name, "%q is not a method in upper case", truncate(m))
		}
		if r.err == nil && slices.Contains(out, m) {
			r.err = fieldErrorf(r.field+"/"+name, "method %q is in the list twice", m)
		}
		out = append(out, m)
	}
	return out
}

// checkHost requires a host name made of DNS labels. A route without a host would match
// the requests to all hosts, including those of other organisations.
func checkHost(field, s string) error {
	if s == "" {
		return fieldErrorf(field, "must not be empty")
	}
	if len(s) > 253 {
		return fieldErrorf(field, "%d bytes are above the limit of 253 for a host", len(s))
	}
	for _, label := range strings.Split(s, ".") {
		if CheckName(field, label) != nil {
			return fieldErrorf(field, "%q is not a host name without port", truncate(s))
		}
	}
	return nil
}

func checkPath(field, s string) error {
	if s == "" {
		return nil
	}
	if s[0] != '/' {
		return fieldErrorf(field, "%q does not start with /", truncate(s))
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || strings.IndexByte(`?#%"\<>{}|^`+"`", c) >= 0 {
			return fieldErrorf(field, "%q has characters that a path prefix must not have", truncate(s))
		}
	}
	for _, seg := range strings.Split(strings.TrimSuffix(s[1:], "/"), "/") {
		if seg == "." || seg == ".." || seg == "" && s != "/" {
			return fieldErrorf(field, "%q has an empty, . or .. segment", truncate(s))
		}
	}
	return nil
}
