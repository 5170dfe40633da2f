package httpcall

import (
	"github.com/cespare/xxhash/v2"

	"github.com/celeryyard/celeryyard/core/resource"
)

// ClaimID names a call with an Idempotency-Key in the whole fleet. Keys of
// different organisations and services are apart.
func ClaimID(organisation, service, key string) string {
	return organisation + "\x00" + service + "\x00" + key
}

// Holders returns the two endpoints that hold the claim id: the primary has the
// highest rendezvous hash of all that are ready, the backup the highest one in
// another availability zone, or in the same one when there is no other. Stale
// endpoints count, so that both sides of a partition agree on the holders. Either
// is nil when the set is too small.
func Holders(set *resource.EndpointSet, id string) (primary, backup *resource.Endpoint) {
	var high uint64
	for i := range set.Endpoints {
		e := &set.Endpoints[i]
		if h := rendezvous(id, e.Node); e.State == resource.StateReady && (primary == nil || h > high) {
			primary, high = e, h
		}
	}
	apart := false
	for i := range set.Endpoints {
		e := &set.Endpoints[i]
		if e.State != resource.StateReady || e == primary {
			continue
		}
		h, other := rendezvous(id, e.Node), e.AvailabilityZone != primary.AvailabilityZone
		if backup == nil || other && !apart || other == apart && h > high {
			backup, high, apart = e, h, other
		}
	}
	return primary, backup
}

func rendezvous(id, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
