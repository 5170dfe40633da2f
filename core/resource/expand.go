package resource

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// resourceOverhead is counted for each resource on top of its text, for its
// numbers and field names.
const resourceOverhead = 128

// Expansion is what a template yields for one team, in order of names.
type Expansion struct {
	Routes   []*Route
	Clusters []*Cluster
}

// Expand applies the parameters of a team to a template. Both are valid on their
// own. The result depends on nothing else. The error is a FieldError that names
// the field of the template, or the parameter of the team; the work is bounded
// by MaxTeamResources and MaxTeamBytes also when it fails.
func Expand(t *Template, team *Team) (*Expansion, error) {
	x := &expander{team: team, clusters: map[string]bool{}, routes: map[string]bool{}, matches: map[string]string{}}
	if err := x.resolve(t); err != nil {
		return nil, err
	}
	for i := range t.Clusters {
		c := &t.Clusters[i]
		if err := x.each(fmt.Sprintf("clusters/%d", i), c.ForEach, func(field string) error { return x.cluster(field, c) }); err != nil {
			return nil, err
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := x.each(fmt.Sprintf("routes/%d", i), r.ForEach, func(field string) error { return x.route(field, r) }); err != nil {
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
	values map[string]value
	// item is the current item of for_each.
	item string
	out  Expansion
	// bytes is the size of out so far.
	bytes            int
	clusters, routes map[string]bool
	// matches maps host, path prefix and method to the route that takes them.
	matches map[string]string
}

// resolve computes the value of every parameter.
func (x *expander) resolve(t *Template) error {
	x.values = map[string]value{refTeam: {text: x.team.Name}, refOrganisation: {text: x.team.Organisation}}
	for _, name := range sortedKeys(x.team.Parameters) {
		if _, ok := t.Parameters[name]; !ok {
			return invalid("parameters/"+name, "template %q has no such parameter", t.Name)
		}
	}
	for _, name := range sortedKeys(t.Parameters) {
		p := t.Parameters[name]
		given, ok := x.team.Parameters[name]
		if !ok {
			given = p.Default
		}
		if len(given) == 0 {
			return invalid("parameters/"+name, "is required by template %q", t.Name)
		}
		v, err := p.value("parameters/"+name, given)
		if err != nil {
			return err
		}
		x.values[name] = v
	}
	return nil
}

// each calls f once, or once for each item of the list parameter forEach.
func (x *expander) each(field, forEach string, f func(field string) error) error {
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

func (x *expander) cluster(field string, t *ClusterTemplate) error {
	r := &reader{x: x, field: field}
	c := &Cluster{
		Name: r.name("name", t.Name), Organisation: x.team.Organisation, Team: x.team.Name,
		Service:            r.name("service", t.Service),
		RetryBudgetPercent: r.number("retry_budget_percent", t.RetryBudgetPercent, DefaultRetryBudgetPercent, 0, MaxRetryBudgetPercent),
		SlowStartMillis:    r.number("slow_start_ms", t.SlowStartMS, DefaultSlowStartMillis, 0, MaxSlowStartMillis),
		EjectAfter:         r.number("eject_after", t.EjectAfter, DefaultEjectAfter, 0, MaxEjectAfter),
	}
	if r.err != nil {
		return r.err
	}
	if x.clusters[c.Name] {
		return invalid(field+"/name", "cluster %q exists twice", c.Name)
	}
	x.clusters[c.Name] = true
	c.Name = x.team.Name + "/" + c.Name
	x.out.Clusters = append(x.out.Clusters, c)
	return x.count(field, len(c.Name)+len(c.Organisation)+len(c.Team)+len(c.Service))
}

func (x *expander) route(field string, t *RouteTemplate) error {
	r := &reader{x: x, field: field}
	route := &Route{
		Name: r.name("name", t.Name), Organisation: x.team.Organisation, Team: x.team.Name,
		Match:         Match{Host: r.host("host", t.Host), PathPrefix: r.path("path_prefix", t.PathPrefix), Methods: r.methods(t.Methods)},
		Cluster:       r.name("cluster", t.Cluster),
		TimeoutMillis: r.number("timeout_ms", t.TimeoutMS, DefaultTimeoutMillis, 1, MaxTimeoutMillis),
		MaxAttempts:   r.number("max_attempts", t.MaxAttempts, DefaultMaxAttempts, 1, MaxAttempts),
		Idempotent:    r.flag("idempotent", t.Idempotent),
	}
	if r.err != nil {
		return r.err
	}
	if x.routes[route.Name] {
		return invalid(field+"/name", "route %q exists twice", route.Name)
	}
	x.routes[route.Name] = true
	if !x.clusters[route.Cluster] {
		return invalid(field+"/cluster", "team %q has no cluster %q", x.team.Name, route.Cluster)
	}
	if err := x.take(field, route); err != nil {
		return err
	}
	route.Name, route.Cluster = x.team.Name+"/"+route.Name, x.team.Name+"/"+route.Cluster
	x.out.Routes = append(x.out.Routes, route)
	m := &route.Match
	return x.count(field, len(route.Name)+len(route.Organisation)+len(route.Team)+len(route.Cluster)+
		len(m.Host)+len(m.PathPrefix)+len(strings.Join(m.Methods, ",")))
}

// take refuses two routes of one team that match the same requests with the
// same precedence, because one of them could never be used.
func (x *expander) take(field string, r *Route) error {
	methods := r.Match.Methods
	if len(methods) == 0 {
		methods = []string{""}
	}
	for _, m := range methods {
		key := r.Match.Host + " " + strings.TrimSuffix(r.Match.PathPrefix, "/") + " " + m
		if other, ok := x.matches[key]; ok {
			return invalid(field, "route %q matches the same requests as route %q", r.Name, other)
		}
		x.matches[key] = r.Name
	}
	return nil
}

func (x *expander) count(field string, bytes int) error {
	x.bytes += bytes + resourceOverhead
	if n := len(x.out.Routes) + len(x.out.Clusters); n > MaxTeamResources {
		return invalid(field, "expansion has more than %d resources", MaxTeamResources)
	}
	if x.bytes > MaxTeamBytes {
		return invalid(field, "expansion has more than %d bytes", MaxTeamBytes)
	}
	return nil
}

// text replaces the references in s. Replaced text is not expanded again.
func (x *expander) text(field, s string) (string, error) {
	var b strings.Builder
	err := eachPart(field, s, func(literal, ref string) error {
		b.WriteString(literal)
		switch ref {
		case "":
		case refItem:
			b.WriteString(x.item)
		default:
			b.WriteString(x.values[ref].text)
		}
		if b.Len() > MaxTextBytes {
			return invalid(field, "expands to more than %d bytes", MaxTextBytes)
		}
		return nil
	})
	return b.String(), err
}

// reader expands the fields of one resource and keeps the first error.
type reader struct {
	x     *expander
	field string
	err   error
}

func (r *reader) text(name, s string) string {
	if r.err != nil {
		return ""
	}
	s, r.err = r.x.text(r.field+"/"+name, s)
	return s
}

func (r *reader) name(name, s string) string {
	s = r.text(name, s)
	if r.err == nil {
		r.err = CheckName(r.field+"/"+name, s)
	}
	return s
}

func (r *reader) number(name, s string, none, least, most int) int {
	s = r.text(name, s)
	if r.err != nil || s == "" {
		return none
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < least || n > most {
		r.err = invalid(r.field+"/"+name, "%q is not a whole number in %d..%d", clip(s), least, most)
	}
	return n
}

func (r *reader) flag(name, s string) bool {
	s = r.text(name, s)
	if r.err == nil && s != "" && s != "true" && s != "false" {
		r.err = invalid(r.field+"/"+name, "%q is not true or false", clip(s))
	}
	return s == "true"
}

func (r *reader) host(name, s string) string {
	s = strings.ToLower(r.text(name, s))
	if r.err == nil {
		r.err = checkHost(r.field+"/"+name, s)
	}
	return s
}

func (r *reader) path(name, s string) string {
	s = r.text(name, s)
	if r.err == nil {
		r.err = checkPath(r.field+"/"+name, s)
	}
	return s
}

func (r *reader) methods(list []string) []string {
	var out []string
	for i, m := range list {
		name := fmt.Sprintf("methods/%d", i)
		m = r.text(name, m)
		if r.err == nil && (m == "" || len(m) > 32 || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			r.err = invalid(r.field+"/"+name, "%q is not a method in upper case", clip(m))
		}
		if r.err == nil && slices.Contains(out, m) {
			r.err = invalid(r.field+"/"+name, "method %q is in the list twice", m)
		}
		out = append(out, m)
	}
	return out
}

// checkHost accepts names of DNS labels. A route without a host would take the
// requests to all hosts, those of other organisations included.
func checkHost(field, s string) error {
	if s == "" {
		return invalid(field, "must not be empty")
	}
	if len(s) > 253 {
		return invalid(field, "%d bytes are above the limit of 253 for a host", len(s))
	}
	for _, label := range strings.Split(s, ".") {
		if CheckName(field, label) != nil {
			return invalid(field, "%q is not a host name without port", clip(s))
		}
	}
	return nil
}

func checkPath(field, s string) error {
	if s == "" {
		return nil
	}
	if s[0] != '/' {
		return invalid(field, "%q does not start with /", clip(s))
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || strings.IndexByte(`?#%"\<>{}|^`+"`", c) >= 0 {
			return invalid(field, "%q has characters that a path prefix must not have", clip(s))
		}
	}
	for _, seg := range strings.Split(strings.TrimSuffix(s[1:], "/"), "/") {
		if seg == "." || seg == ".." || seg == "" && s != "/" {
			return invalid(field, "%q has an empty, . or .. segment", clip(s))
		}
	}
	return nil
}
