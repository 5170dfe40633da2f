package catalog

import (
	"encoding/hex"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// redactEntry returns an entry for the trace: with digests in place of API keys, so that a replay decides alike. e is the
// decoded data, or has no Change if data is malformed. Of an entry that cannot be redacted, nothing is returned.
func redactEntry(data []byte, e entry) jsontext.Value {
	c := e.Change
	if c == nil || c.Kind != change.KindConfiguration {
		return data
	}
	body, err := redactConfiguration(c)
	if err != nil {
		return nil
	}
	if body == nil {
		return data
	}
	redacted := *c
	redacted.Body = body
	out, err := encodeEntry(entry{Time: e.Time, Change: &redacted})
	if err != nil {
		return nil
	}
	return out
}

// redactConfiguration returns the body of a change of the configuration without API keys; nil if it has none.
func redactConfiguration(c *change.Change) ([]byte, error) {
	if c.Action == change.ActionPut {
		next := &resource.Configuration{}
		if err := resource.DecodeWithLimit(c.Body, resource.MaxConfigurationBytes, next); err != nil || len(next.Callers) == 0 {
			return nil, err
		}
		next.Callers = redactKeys(next.Callers)
		return json.Marshal(next)
	}
	p, err := resource.DecodePatch(c.Body)
	if err != nil || p.Callers == nil {
		return nil, err
	}
	for i := range p.Callers.Runs {
		p.Callers.Runs[i].New = redactKeys(p.Callers.Runs[i].New)
	}
	return json.Marshal(p)
}

func redactKeys(teams []resource.CallerTeam) []resource.CallerTeam {
	out := slices.Clone(teams)
	for i := range out {
		keys := out[i].Keys
		if keys == nil {
			continue
		}
		out[i].Keys = make([]string, len(keys))
		for j, k := range keys {
			digest := resource.DigestKey(k)
			out[i].Keys[j] = "sha256-" + hex.EncodeToString(digest[:])
		}
	}
	return out
}
