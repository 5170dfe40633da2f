package resource

import (
	"maps"
	"net"
	"net/url"
	"slices"
	"sort"
	"strings"
)

// RouteTable finds the route that matches a request. It is immutable.
type RouteTable struct {
	// byHost holds the routes of each host; the key "" holds the routes for any host.
	byHost map[string][]*Route
}

// NewRouteTable returns a table of the given routes. The routes of a host are ordered as
// hasPrecedence defines.
func NewRouteTable(routes map[string]*Route) *RouteTable {
	t := &RouteTable{byHost: map[string][]*Route{}}
	for _, r := range routes {
		h := strings.ToLower(r.Match.Host)
		t.byHost[h] = append(t.byHost[h], r)
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return hasPrecedence(list[i], list[j]) })
	}
	return t
}

// withChanges returns a table that lacks the removed routes and has the added ones. The lists of
// unaffected hosts are shared with t.
func (t *RouteTable) withChanges(removed, added []*Route) *RouteTable {
	out := &RouteTable{byHost: maps.Clone(t.byHost)}
	removedSet := make(map[*Route]bool, len(removed))
	addedByHost := map[string][]*Route{}
	for _, r := range removed {
		removedSet[r] = true
		addedByHost[strings.ToLower(r.Match.Host)] = nil
	}
	for _, r := range added {
		h := strings.ToLower(r.Match.Host)
		addedByHost[h] = append(addedByHost[h], r)
	}
	for h, list := range addedByHost {
		if list = mergeRoutes(t.byHost[h], removedSet, list); len(list) > 0 {
			out.byHost[h] = list
		} else {
			delete(out.byHost, h)
		}
	}
	return out
}

// mergeRoutes returns the ordered list that results when the removed routes are taken out of list and
// the added ones are inserted.
func mergeRoutes(list []*Route, removed map[*Route]bool, added []*Route) []*Route {
	added = slices.DeleteFunc(added, func(r *Route) bool { return removed[r] }) // added and replaced by the same delta
	sort.Slice(added, func(i, j int) bool { return hasPrecedence(added[i], added[j]) })
	out := make([]*Route, 0, len(list)+len(added))
	for _, r := range list {
		if removed[r] {
			continue
		}
		for len(added) > 0 && hasPrecedence(added[0], r) {
			out = append(out, added[0])
			added = added[1:]
		}
		out = append(out, r)
	}
	return append(out, added...)
}

// hasPrecedence reports whether a is matched before b: the longer path prefix comes first, then a
// route with methods, then the lower name.
func hasPrecedence(a, b *Route) bool {
	if la, lb := len(a.Match.PathPrefix), len(b.Match.PathPrefix); la != lb {
		return la > lb
	}
	if ma, mb := len(a.Match.Methods) > 0, len(b.Match.Methods) > 0; ma != mb {
		return ma
	}
	return a.Name < b.Name
}

// escapedSlash is the escape of a slash that does not separate path segments, as RoutingPath returns it.
const escapedSlash = "%2F"

// RoutingPath returns the path of u that is matched with routes: its escapes are decoded, but an escaped
// slash stays one, so that "/a%2Fb" is no path below "/a/" (RFC 3986, section 2.2: an escaped delimiter is
// not equivalent to the delimiter).
func RoutingPath(u *url.URL) string {
	if !strings.Contains(u.RawPath, "%2") {
		return u.Path // net/url sets RawPath if there is an escaped slash
	}
	parts := strings.Split(strings.ReplaceAll(u.RawPath, "%2f", escapedSlash), escapedSlash)
	for i, p := range parts {
		if decoded, err := url.PathUnescape(p); err == nil {
			parts[i] = decoded
		}
	}
	return strings.Join(parts, escapedSlash)
}

// Find returns the route for a request, or nil; path is that of RoutingPath. Routes of the given host
// take precedence over routes for any host. host may have a port, which is ignored.
func (t *RouteTable) Find(method, host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if r := findRoute(t.byHost[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	return findRoute(t.byHost[""], method, path)
}

func findRoute(list []*Route, method, path string) *Route {
	for _, r := range list {
		if hasPathPrefix(path, r.Match.PathPrefix) && (len(r.Match.Methods) == 0 || slices.Contains(r.Match.Methods, method)) {
			return r
		}
	}
	return nil
}

// hasPathPrefix compares whole path segments: "/a" matches "/a" and "/a/b", not "/ab".
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || prefix == "" || path[len(prefix)] == '/'
}
