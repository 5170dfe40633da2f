package lint

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/resource"
)

// digestDigits is the number of hexadecimal digits of a shortened digest of an API key. 48 bits distinguish the
// 16,384 keys of the largest configuration with a probability of collision of 5e-7.
const digestDigits = 12

// Redacted is a configuration without API keys.
type Redacted struct {
	// Configuration has no keys in Callers; nil if no configuration is in force.
	Configuration *resource.Configuration `json:"configuration"`
	// KeyDigests holds the shortened digests of the keys of each calling team, sorted and without duplicates.
	KeyDigests map[string][]string `json:"key_digests,omitempty"`
}

// Redact returns c without API keys. c may be nil; it is not modified, and the result shares its routes and services.
func Redact(c *resource.Configuration) Redacted {
	if c == nil {
		return Redacted{}
	}
	out := *c
	out.Callers = slices.Clone(c.Callers)
	r := Redacted{Configuration: &out}
	if len(c.Callers) > 0 {
		r.KeyDigests = make(map[string][]string, len(c.Callers))
	}
	for i := range out.Callers {
		t := &out.Callers[i]
		digests := make([]string, 0, len(t.Keys))
		for _, key := range t.Keys {
			d := resource.DigestKey(key)
			digests = append(digests, hex.EncodeToString(d[:])[:digestDigits])
		}
		t.Keys = nil
		slices.Sort(digests)
		r.KeyDigests[t.Name] = slices.Compact(digests)
	}
	return r
}

// Action states how an entry differs.
type Action string

// Actions.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Entry is an entry of a configuration that differs from the configuration in force.
type Entry struct {
	// Kind is "route", "service", "team" or "limits".
	Kind   string `json:"kind"`
	Action Action `json:"action"`
	// Name is host and path prefix of a route, the name of a service or team, and empty for the limits.
	Name string `json:"name"`
	// Details holds the fields that differ, with the old and the new value; it is empty for added and removed entries, apart
	// from the keys of teams.
	Details []string `json:"details,omitempty"`
}

// Difference is what a configuration changes in the one in force.
type Difference struct {
	// InForce and Next are the numbers of the two configurations; InForce is 0 if there is none.
	InForce uint64 `json:"in_force"`
	Next    uint64 `json:"next"`
	// Entries is sorted by kind (routes, services, teams, limits) and name.
	Entries []Entry `json:"entries"`
	// KeysAdded and KeysRemoved count the keys of all teams; a key that moves to another team counts in both.
	KeysAdded   int `json:"keys_added"`
	KeysRemoved int `json:"keys_removed"`
}

// Compare returns what next changes in the configuration in force, and findings about the step from one to the other.
func Compare(inForce Redacted, next *resource.Configuration) (*Difference, []Finding) {
	old := inForce.Configuration
	if old == nil {
		old = &resource.Configuration{}
	}
	d := &Difference{InForce: old.Number, Next: next.Number, Entries: []Entry{}}
	d.Entries = append(d.Entries, compareLists("route", old.Routes, next.Routes, matchName)...)
	d.Entries = append(d.Entries, compareLists("service", old.Services, next.Services, func(s *resource.ConfiguredService) string { return s.Name })...)
	d.compareCallers(inForce, Redact(next))
	if old.Limits != next.Limits {
		d.Entries = append(d.Entries, Entry{"limits", Changed, "", fieldChanges(old.Limits, next.Limits)})
	}
	return d, checkStep(old, next, len(d.Entries) > 0)
}

// checkStep checks whether next may follow the configuration in force.
func checkStep(old, next *resource.Configuration, differs bool) []Finding {
	var out []Finding
	switch {
	case next.Number == old.Number && differs:
		out = append(out, Finding{Error, RuleBase, "number", fmt.Sprintf("configuration %d is in force with another content", old.Number)})
	case next.Number != old.Number && next.Base != old.Number:
		out = append(out, Finding{Error, RuleBase, "base", fmt.Sprintf("configuration %d is in force, not %d", old.Number, next.Base)})
	}
	if len(old.Callers) == 0 && len(next.Callers) > 0 && len(old.Routes) > 0 {
		out = append(out, Finding{Warning, RuleKeysRequired, "callers", "these are the first calling teams: requests without a key, which are served now, will get 401 on routes that are not anonymous"})
	}
	return out
}

func (d *Difference) compareCallers(old, next Redacted) {
	var before []resource.CallerTeam
	if old.Configuration != nil {
		before = old.Configuration.Callers
	}
	after := next.Configuration.Callers
	name := func(t *resource.CallerTeam) string { return t.Name }
	entries := compareLists("team", before, after, name)
	byName := map[string]int{}
	for i := range entries {
		byName[entries[i].Name] = i
	}
	for _, team := range sortedNames(old.KeyDigests, next.KeyDigests) {
		added := without(next.KeyDigests[team], old.KeyDigests[team])
		removed := without(old.KeyDigests[team], next.KeyDigests[team])
		if len(added)+len(removed) == 0 {
			continue
		}
		d.KeysAdded, d.KeysRemoved = d.KeysAdded+len(added), d.KeysRemoved+len(removed)
		i, ok := byName[team]
		if !ok {
			i = len(entries)
			entries = append(entries, Entry{Kind: "team", Action: Changed, Name: team})
		}
		if len(added) > 0 {
			entries[i].Details = append(entries[i].Details, describeKeys("added", added))
		}
		if len(removed) > 0 {
			entries[i].Details = append(entries[i].Details, describeKeys("removed", removed))
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	d.Entries = append(d.Entries, entries...)
}

// maxShownKeys bounds the number of digests in the description of a change of keys.
const maxShownKeys = 4

func describeKeys(what string, digests []string) string {
	shown := strings.Join(digests[:min(len(digests), maxShownKeys)], ", ")
	if len(digests) > maxShownKeys {
		shown += ", ..."
	}
	return fmt.Sprintf("keys: %d %s (%s)", len(digests), what, shown)
}

// without returns the items of list that are not in other; both are sorted.
func without(list, other []string) []string {
	var out []string
	for _, s := range list {
		if _, found := slices.BinarySearch(other, s); !found {
			out = append(out, s)
		}
	}
	return out
}

func sortedNames[V any](maps ...map[string]V) []string {
	var names []string
	for _, m := range maps {
		for name := range m {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// compareLists returns the entries that differ between two lists, sorted by name. Entries correspond if they have the same
// name; their order in the lists does not matter.
func compareLists[T any](kind string, before, after []T, name func(*T) string) []Entry {
	old := make(map[string]*T, len(before))
	for i := range before {
		old[name(&before[i])] = &before[i]
	}
	var out []Entry
	seen := make(map[string]bool, len(after))
	for i := range after {
		n := name(&after[i])
		o := old[n]
		switch {
		case seen[n]: // listed twice, which is an error of its own
		case o == nil:
			out = append(out, Entry{Kind: kind, Action: Added, Name: n})
		case !reflect.DeepEqual(*o, after[i]):
			if details := fieldChanges(*o, after[i]); len(details) > 0 {
				out = append(out, Entry{kind, Changed, n, details})
			}
		}
		seen[n] = true
	}
	for n := range old {
		if !seen[n] {
			out = append(out, Entry{Kind: kind, Action: Removed, Name: n})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// fieldChanges describes the JSON fields that differ between two values of one struct type, sorted by name.
func fieldChanges(before, after any) []string {
	old, next := jsonFields(before), jsonFields(after)
	var out []string
	for _, name := range sortedNames(old, next) {
		if o, n := old[name], next[name]; string(o) != string(n) {
			out = append(out, fmt.Sprintf("%s: %s -> %s", name, valueText(o), valueText(n)))
		}
	}
	return out
}

// jsonFields returns the fields of a struct by JSON name. Types of a configuration can always be encoded.
func jsonFields(v any) map[string]jsontext.Value {
	fields := map[string]jsontext.Value{}
	if b, err := json.Marshal(v); err == nil {
		_ = json.Unmarshal(b, &fields)
	}
	return fields
}

func valueText(v jsontext.Value) string {
	if len(v) == 0 {
		return "absent"
	}
	return string(v)
}
