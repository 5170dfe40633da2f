package lint

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/resource"
)

func (k *checker) checkCallers() {
	for i := range k.c.Callers {
		t := &k.c.Callers[i]
		field := fmt.Sprintf("callers/%d", i)
		if len(t.Keys) == 0 {
			k.warnf(RuleNoKey, field+"/keys", "no request can identify itself as team %q", t.Name)
		}
		seen := make(map[string]int, len(t.Keys))
		for j, key := range t.Keys {
			if first, taken := seen[key]; taken {
				k.warnf(RuleKeyTwice, fmt.Sprintf("%s/keys/%d", field, j), "the same key as %s/keys/%d", field, first)
				continue
			}
			seen[key] = j
		}
		k.checkRate(field, t)
	}
	if len(k.c.Callers) == 0 || len(k.c.Routes) == 0 {
		return
	}
	for i := range k.c.Routes {
		if a := k.c.Routes[i].Anonymous; a == nil || !*a {
			return
		}
	}
	k.warnf(RuleAllAnonymous, "routes", "all routes are anonymous: a team evades its limit by sending no key")
}

func (k *checker) checkRate(field string, t *resource.CallerTeam) {
	rate, burst := valueOrZero(t.RatePerSecond), valueOrZero(t.Burst)
	switch {
	case rate == 0 && burst > 0:
		k.warnf(RuleBurst, field+"/burst", "a burst without a rate limits nothing")
	case rate > 0 && rate < 1:
		k.warnf(RuleLowRate, field+"/rate_per_s", "%g is less than one request a second: beyond the burst, one is admitted each %.3g s", rate, 1/rate)
	}
}

// keyHeaderBytes is the length of a header line for an API key without the key itself; names of such headers have 9 to 25 bytes.
const keyHeaderBytes = 25

// checkLimits checks the limits of callers. A limit that is not set is 0. It is reported only if others are set: without any,
// the author does not use them.
func (k *checker) checkLimits() {
	l := &k.c.Limits
	if *l == (resource.CallerLimits{}) {
		return
	}
	if l.MaxHeaderBytes <= 0 {
		k.warnf(RuleLimit, "limits/max_header_bytes", "%d bytes admit no request; other limits are set", l.MaxHeaderBytes)
	} else if needed, field := k.longestHead(); l.MaxHeaderBytes < int64(needed) {
		k.warnf(RuleLimit, "limits/max_header_bytes", "%d bytes are below the %d that the shortest request of %s needs", l.MaxHeaderBytes, needed, field)
	}
	if l.MaxBodyBytes <= 0 {
		k.warnf(RuleLimit, "limits/max_body_bytes", "%d bytes admit no request with a body; other limits are set", l.MaxBodyBytes)
	}
	if l.HeaderTimeoutMillis < 0 || l.IdleTimeoutMillis < 0 {
		k.warnf(RuleLimit, "limits", "a timeout is negative")
	}
	if l.IdleTimeoutMillis > 0 && l.IdleTimeoutMillis < l.HeaderTimeoutMillis {
		k.warnf(RuleIdle, "limits/idle_timeout_ms", "%d ms are below the header timeout of %d ms, so that a connection may be closed while a request head is on its way",
			l.IdleTimeoutMillis, l.HeaderTimeoutMillis)
	}
}

// longestHead returns the length of the shortest request head that the most demanding route needs, and the field of that
// route: the request line, the host, and the longest API key where a key is required.
func (k *checker) longestHead() (bytes int, field string) {
	longestKey := 0
	for i := range k.c.Callers {
		for _, key := range k.c.Callers[i].Keys {
			longestKey = max(longestKey, len(key)+keyHeaderBytes)
		}
	}
	for i := range k.c.Routes {
		r := &k.c.Routes[i]
		n := len("GET ") + len(r.PathPrefix) + len(" HTTP/1.1\r\nHost: \r\n\r\n") + len(r.Host)
		if r.Anonymous == nil || !*r.Anonymous {
			n += longestKey
		}
		if n > bytes {
			bytes, field = n, fmt.Sprintf("routes/%d", i)
		}
	}
	return bytes, field
}

func valueOrZero(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}
