package distribution

import (
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/core/peerapi"
	"github.com/celeryyard/celeryyard/core/rpc"
)

// onConfirm tells a node the newest version of the configuration. A majority of the voters confirms it after the request has
// arrived, so that the statement is true of the time of the request; concurrent requests share one exchange.
func (d *Distribution) onConfirm(c *rpc.Conn, r *rpc.Request) {
	if d.touchSession(c) == nil {
		d.refuseMessage(c, r, errors.Newf("process %q has no session", c.Peer))
		return
	}
	d.log.Barrier(d.s.BarrierTimeout.AsDuration(), func(err error) {
		if err != nil {
			r.ReplyError(rpc.CodeFailed, err)
			return
		}
		r.Reply(&peerapi.Currency{Version: d.catalog.Version()})
	})
}
