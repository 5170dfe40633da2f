package resource

import (
	"maps"
	"net"
	"net/url"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// RouteTable finds the route that matches a request. It is immutable.
type RouteTable struct {
	// byHost holds the routes of each host; the key "" holds the routes for any host.
	byHost map[string][]tableRoute
}

// tableRoute is a route with the form of its path prefix that is compared with RoutingPath.
type tableRoute struct {
	*Route
	prefix string
}

func newTableRoute(r *Route) tableRoute {
	prefix, err := RoutingPrefix(r.Match.PathPrefix)
	if err != nil {
		prefix = r.Match.PathPrefix // no path of a request has it
	}
	return tableRoute{r, prefix}
}

// NewRouteTable returns a table of the given routes. The routes of a host are ordered as
// hasPrecedence defines.
func NewRouteTable(routes map[string]*Route) *RouteTable {
	t := &RouteTable{byHost: map[string][]tableRoute{}}
	for _, r := range routes {
		h := strings.ToLower(r.Match.Host)
		t.byHost[h] = append(t.byHost[h], newTableRoute(r))
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
	addedByHost := map[string][]tableRoute{}
	for _, r := range removed {
		removedSet[r] = true
		addedByHost[strings.ToLower(r.Match.Host)] = nil
	}
	for _, r := range added {
		h := strings.ToLower(r.Match.Host)
		addedByHost[h] = append(addedByHost[h], newTableRoute(r))
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
func mergeRoutes(list []tableRoute, removed map[*Route]bool, added []tableRoute) []tableRoute {
	added = slices.DeleteFunc(added, func(r tableRoute) bool { return removed[r.Route] }) // added and replaced by the same delta
	sort.Slice(added, func(i, j int) bool { return hasPrecedence(added[i], added[j]) })
	out := make([]tableRoute, 0, len(list)+len(added))
	for _, r := range list {
		if removed[r.Route] {
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
func hasPrecedence(a, b tableRoute) bool {
	if la, lb := len(a.prefix), len(b.prefix); la != lb {
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

// RoutingPrefix returns the form of a path prefix that is compared with RoutingPath: a prefix is written like the path of a
// request, with the same escapes. It returns an error if no path of a request has the prefix.
func RoutingPrefix(prefix string) (string, error) {
	if i := strings.IndexAny(prefix, "?#"); i >= 0 {
		return "", errors.Newf("path prefix %q has the character %q, which must be escaped", truncate(prefix), prefix[i])
	}
	u, err := url.ParseRequestURI(prefix)
	if err != nil || u.Host != "" || u.Scheme != "" {
		return "", errors.Newf("path prefix %q is not the path of a request", truncate(prefix))
	}
	return RoutingPath(u), nil
}

// Find returns the route for a request, or nil; path is that of RoutingPath. Routes of the given host
// take precedence over routes for any host. host may have a port, which is ignored unless a route names it.
func (t *RouteTable) Find(method, host, path string) *Route {
	if r := findRoute(t.byHost[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if r := findRoute(t.byHost[strings.ToLower(host)], method, path); r != nil {
		return r
	}
	return findRoute(t.byHost[""], method, path)
}

func findRoute(list []tableRoute, method, path string) *Route {
	for _, r := range list {
		if hasPathPrefix(path, r.prefix) && (len(r.Match.Methods) == 0 || slices.Contains(r.Match.Methods, method)) {
			return r.Route
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
