package distribution

import (
	"time"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/resource"
)

// currency records up to when the configuration of this instance is known to be the newest one. The zero value
// knows nothing.
type currency struct {
	version resource.Version
	// at is the latest time at which no version above version had been accepted.
	at time.Time
}

// observe takes note of the state of the log; held is the version that the catalog held after that state was
// read. A state in which committed entries wait to be applied proves nothing about the catalog.
func (c *currency) observe(s api.QuorumStatus, held resource.Version) {
	if held != 0 && s.Applied >= s.Commit && s.Confirmed.After(c.at) {
		c.version, c.at = held, s.Confirmed
	}
}

// message returns the statement for nodes; nil if nothing is known.
func (c *currency) message(now time.Time) *peerapi.Currency {
	if c.at.IsZero() {
		return nil
	}
	return &peerapi.Currency{Version: c.version, AgeMillis: now.Sub(c.at).Milliseconds() + 1}
}

// observeLog returns the state of the log and what it tells about the configuration of this instance.
func (d *Distribution) observeLog() (api.QuorumStatus, currency) {
	status := d.log.Status()
	held := d.catalog.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currency.observe(status, held)
	return status, d.currency
}
