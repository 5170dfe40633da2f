package httpcall

import (
	"github.com/cespare/xxhash/v2"

	"github.com/celeryyard/celeryyard/core/resource"
)

// ClaimID returns the ID of the claim of an Idempotency-Key, which is unique in the fleet: equal keys
// of different organisations or services give different IDs.
func ClaimID(organisation, service, key string) string {
	return organisation + "\x00" + service + "\x00" + key
}

// SelectHolders returns the two endpoints that hold the claim id. The primary has the highest
// rendezvous hash of all ready endpoints. The backup has the highest one of the ready endpoints in
// other availability zones, or of the remaining ones in the primary's zone if there is no other
// zone. Stale endpoints are included, so that both sides of a partition agree on the holders. Both
// are nil if no endpoint is ready; only backup is nil if one is.
func SelectHolders(set *resource.EndpointSet, id string) (primary, backup *resource.Endpoint) {
	var highest uint64
	for i := range set.Endpoints {
		e := &set.Endpoints[i]
		if h := rendezvousHash(id, e.Node); e.State == resource.StateReady && (primary == nil || h > highest) {
			primary, highest = e, h
		}
	}
	backupInOtherZone := false
	for i := range set.Endpoints {
		e := &set.Endpoints[i]
		if e.State != resource.StateReady || e == primary {
			continue
		}
		h, inOtherZone := rendezvousHash(id, e.Node), e.AvailabilityZone != primary.AvailabilityZone
		if backup == nil || inOtherZone && !backupInOtherZone || inOtherZone == backupInOtherZone && h > highest {
			backup, highest, backupInOtherZone = e, h, inOtherZone
		}
	}
	return primary, backup
}

func rendezvousHash(id, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
