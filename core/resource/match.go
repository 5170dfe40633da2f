package resource

import (
	"maps"
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

// with returns the table after some routes were removed and others added. Lists of
// hosts that are not concerned are shared with t.
func (t *RouteTable) with(removed, added []*Route) *RouteTable {
	out := &RouteTable{byHost: maps.Clone(t.byHost)}
	gone := make(map[*Route]bool, len(removed))
	more := map[string][]*Route{}
	for _, r := range removed {
		gone[r] = true
		more[strings.ToLower(r.Match.Host)] = nil
	}
	for _, r := range added {
		h := strings.ToLower(r.Match.Host)
		more[h] = append(more[h], r)
	}
	for h, list := range more {
		if list = mergeRoutes(t.byHost[h], gone, list); len(list) > 0 {
			out.byHost[h] = list
		} else {
			delete(out.byHost, h)
		}
	}
	return out
}

// mergeRoutes returns an ordered list without the routes that are gone and with more.
func mergeRoutes(list []*Route, gone map[*Route]bool, more []*Route) []*Route {
	more = slices.DeleteFunc(more, func(r *Route) bool { return gone[r] }) // replaced by the same delta
	sort.Slice(more, func(i, j int) bool { return before(more[i], more[j]) })
	out := make([]*Route, 0, len(list)+len(more))
	for _, r := range list {
		if gone[r] {
			continue
		}
		for len(more) > 0 && before(more[0], r) {
			out = append(out, more[0])
			more = more[1:]
		}
		out = append(out, r)
	}
	return append(out, more...)
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
