package resource

import (
	"net"
	"slices"
	"sort"
	"strings"
)

// RouteTable finds the route of a request. It is immutable.
type RouteTable struct {
	// byHost holds the routes of one host; the key "" holds routes for any host.
	byHost map[string][]*Route
}

// NewRouteTable indexes routes. Within a host the longest path prefix comes
// first, then routes that name methods, then the name in alphabetical order.
func NewRouteTable(routes map[string]*Route) *RouteTable {
	t := &RouteTable{byHost: map[string][]*Route{}}
	for _, r := range routes {
		h := strings.ToLower(r.Match.Host)
		t.byHost[h] = append(t.byHost[h], r)
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return before(list[i], list[j]) })
	}
	return t
}

func before(a, b *Route) bool {
	if la, lb := len(a.Match.PathPrefix), len(b.Match.PathPrefix); la != lb {
		return la > lb
	}
	if ma, mb := len(a.Match.Methods) > 0, len(b.Match.Methods) > 0; ma != mb {
		return ma
	}
	return a.Name < b.Name
}

// Find returns the route for a request, or nil. A route of the host itself
// comes before routes for any host. host may carry a port.
func (t *RouteTable) Find(method, host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if r := find(t.byHost[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	return find(t.byHost[""], method, path)
}

func find(list []*Route, method, path string) *Route {
	for _, r := range list {
		if hasPrefix(path, r.Match.PathPrefix) && (len(r.Match.Methods) == 0 || slices.Contains(r.Match.Methods, method)) {
			return r
		}
	}
	return nil
}

// hasPrefix matches whole segments: "/a" matches "/a" and "/a/b", not "/ab".
func hasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || prefix == "" || path[len(prefix)] == '/'
}
