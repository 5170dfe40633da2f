package resource

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of the calling teams of a configuration. Together with MaxConfigurationBytes they bound the memory of nodes:
// a digest takes 32 bytes, and its entry in the lookup table about 50 more.
const (
	MaxCallerTeams = 4096
	MaxCallerKeys  = 16_384 // of all teams together
	// MaxCallerNameBytes limits the length of a name. Nodes send it to each other in a header of at most 1024 bytes, in
	// which a byte takes up to three.
	MaxCallerNameBytes = 128
	// MaxAPIKeyBytes limits the length of an API key.
	MaxAPIKeyBytes = 512
	// MaxCallerRate limits the rate and the burst of a team; larger ones have no effect at the design capacity of
	// 630,000 calls per second.
	MaxCallerRate = 1e9
)

// CallerTeam is a team in its role as a caller: it identifies itself by an API key, and its requests are
// ordered and limited as a whole, whichever node they arrive at. A Team owns routes; a CallerTeam uses them.
type CallerTeam struct {
	Name string `json:"name"`
	// Keys holds the API keys of the team as operators send them. Nodes receive only their digests.
	// The list distinguishes nil from empty, so that a configuration is read back as it was sent.
	Keys []string `json:"keys,omitzero"`
	// Priority takes precedence over the priority of the route; nil leaves the order to the routes.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond is the number of requests per second that the team may send through all nodes together; 0 means no
	// limit. Burst is the number of requests that it may send beyond that rate at one moment.
	// Nil means 0.
	RatePerSecond *float64 `json:"rate_per_s,omitzero"`
	Burst         *float64 `json:"burst,omitzero"`
}

// Caller is what nodes hold of a CallerTeam. Its fields have the same meaning.
type Caller struct {
	// Name is also the key of the resource.
	Name          string      `json:"name"`
	KeyDigests    []KeyDigest `json:"keys,omitempty"`
	Priority      *int        `json:"priority,omitempty"`
	RatePerSecond float64     `json:"rate_per_s,omitzero"`
	Burst         float64     `json:"burst,omitzero"`
}

// IsLimited reports whether the requests of the team are limited.
func (c *Caller) IsLimited() bool { return c.RatePerSecond > 0 }

// KeyDigest is the SHA-256 of an API key. API keys are long and random, so that they cannot be found by trying;
// a lookup by digest takes the same time for all keys that are not in the table.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// validateCallers checks the calling teams. Errors never quote a key, since they are logged and sent to operators.
func validateCallers(teams []CallerTeam) error { return firstError(invalidCallers(teams)) }

// invalidCallers returns the errors of validateCallers, at most one for each team.
func invalidCallers(teams []CallerTeam) iter.Seq[error] {
	return func(yield func(error) bool) {
		if len(teams) > MaxCallerTeams && !yield(fieldErrorf("callers", "%d teams are above the limit of %d", len(teams), MaxCallerTeams)) {
			return
		}
		names, owners := make(map[string]bool, len(teams)), make(map[string]int, len(teams))
		keyCount := 0
		for i := range teams {
			err := teams[i].validate(fmt.Sprintf("callers/%d", i))
			if keyCount += len(teams[i].Keys); err == nil {
				err = checkUnique(teams, i, keyCount, names, owners)
			}
			if err != nil && !yield(err) {
				return
			}
		}
	}
}

// checkUnique checks that no team before position i has the name or a key of the team there. names and owners hold those of
// the teams before it, keyCount is the number of keys up to it.
func checkUnique(teams []CallerTeam, i, keyCount int, names map[string]bool, owners map[string]int) error {
	t := &teams[i]
	field := fmt.Sprintf("callers/%d", i)
	if names[t.Name] {
		return fieldErrorf(field+"/name", "team %q is listed twice", truncate(t.Name))
	}
	names[t.Name] = true
	if keyCount > MaxCallerKeys {
		return fieldErrorf(field+"/keys", "more than %d keys in total", MaxCallerKeys)
	}
	for j, k := range t.Keys {
		if owner, taken := owners[k]; taken && owner != i {
			return fieldErrorf(fmt.Sprintf("%s/keys/%d", field, j), "team %q has the same key", truncate(teams[owner].Name))
		}
		owners[k] = i
	}
	return nil
}

func (t *CallerTeam) validate(field string) error {
	if !isHeaderText(t.Name, MaxCallerNameBytes) {
		return fieldErrorf(field+"/name", "must have 1 to %d bytes without control characters and outer spaces", MaxCallerNameBytes)
	}
	for i, k := range t.Keys {
		if !isHeaderText(k, MaxAPIKeyBytes) {
			return fieldErrorf(fmt.Sprintf("%s/keys/%d", field, i), "must have 1 to %d bytes without control characters and outer spaces", MaxAPIKeyBytes)
		}
	}
	if t.Priority != nil && *t.Priority < 0 {
		return fieldErrorf(field+"/priority", "%d is negative", *t.Priority)
	}
	if x := valueOrZero(t.RatePerSecond); !(x >= 0 && x <= MaxCallerRate) {
		return fieldErrorf(field+"/rate_per_s", "%g is outside 0..%g", x, float64(MaxCallerRate))
	}
	if x := valueOrZero(t.Burst); !(x >= 0 && x <= MaxCallerRate) {
		return fieldErrorf(field+"/burst", "%g is outside 0..%g", x, float64(MaxCallerRate))
	}
	return nil
}

// isHeaderText reports whether s has 1 to maxBytes bytes and can be the whole value of a header (RFC 9110, section 5.5).
func isHeaderText(s string, maxBytes int) bool {
	if s == "" || len(s) > maxBytes || strings.Trim(s, " ") != s {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// Expand returns the caller that nodes hold. Its digests are sorted and without duplicates.
func (t *CallerTeam) Expand() *Caller {
	c := &Caller{Name: t.Name, Priority: t.Priority, RatePerSecond: valueOrZero(t.RatePerSecond), Burst: valueOrZero(t.Burst)}
	for _, k := range t.Keys {
		c.KeyDigests = append(c.KeyDigests, DigestKey(k))
	}
	slices.SortFunc(c.KeyDigests, func(a, b KeyDigest) int { return bytes.Compare(a[:], b[:]) })
	c.KeyDigests = slices.Compact(c.KeyDigests)
	return c
}

// ExpandCallers returns the callers that nodes hold, sorted by name; nil if there are none.
func (c *Configuration) ExpandCallers() []*Caller {
	var out []*Caller
	for i := range c.Callers {
		out = append(out, c.Callers[i].Expand())
	}
	slices.SortFunc(out, func(a, b *Caller) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Equal reports whether two callers have the same content.
func (c *Caller) Equal(o *Caller) bool {
	samePriority := c.Priority == o.Priority || c.Priority != nil && o.Priority != nil && *c.Priority == *o.Priority
	return samePriority && c.Name == o.Name && c.RatePerSecond == o.RatePerSecond && c.Burst == o.Burst && slices.Equal(c.KeyDigests, o.KeyDigests)
}

// ErrSharedKey means that two callers of a snapshot would have the same key.
var ErrSharedKey = errors.New("snapshot would have a key of two callers")

// indexCallers returns the lookup table of the callers by key digest. The error is ErrSharedKey.
func indexCallers(callers map[string]*Caller) (map[KeyDigest]*Caller, error) {
	n := 0
	for _, c := range callers {
		n += len(c.KeyDigests)
	}
	index := make(map[KeyDigest]*Caller, n)
	for _, c := range callers {
		for _, d := range c.KeyDigests {
			if o := index[d]; o != nil && o != c {
				return nil, errors.Wrapf(ErrSharedKey, "callers %q and %q", min(c.Name, o.Name), max(c.Name, o.Name))
			}
			index[d] = c
		}
	}
	return index, nil
}
