package inbound

import (
	"time"

	"github.com/celeryyard/celeryyard/core/httpcall"
)

// parentClass returns the class of the call in the statistics of nested calls; "" if none are kept.
func (c *call) parentClass() string {
	if c.in.lineage == nil || c.info.ID == "" || !c.in.isOrdered(c.slots) {
		return ""
	}
	return c.info.Class()
}

// refusedForNestedCalls returns the reason for the rejection of a call whose nested calls would fail; "" if the call may
// run. A nested call is always admitted: its parent has already worked. The decision about a call with an
// Idempotency-Key would come before the answer to its repeat is looked up, so such a call is always admitted too.
func (c *call) refusedForNestedCalls() string {
	if c.info.Nested || c.info.Keyed {
		return ""
	}
	class := c.parentClass()
	if class == "" {
		return ""
	}
	switch ok, isLocal := c.in.lineage.AdmitParent(class, time.Now()); {
	case ok:
		return ""
	case isLocal:
		return httpcall.ReasonNestedCallsHere
	}
	return httpcall.ReasonNestedCalls
}
