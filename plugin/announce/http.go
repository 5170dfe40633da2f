package announce

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/httphead"
)

// maxBody bounds the description of an upstream in a request.
const maxBody = 4096

// readTimeout bounds the reading of a request.
const readTimeout = 5 * time.Second

// listen serves the local interface for the upstream.
func (a *Announce) listen() error {
	if a.s.Listen == "" {
		return nil
	}
	l, err := net.Listen("tcp", a.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the upstream")
	}
	e := echo.New()
	e.PUT("/v1/upstream", a.putUpstream)
	e.DELETE("/v1/upstream", a.deleteUpstream)
	a.server = &http.Server{Handler: e, ReadTimeout: readTimeout, MaxHeaderBytes: httphead.MaxBytes}
	a.c.Serve(a.server, l)
	return nil
}

func (a *Announce) putUpstream(e echo.Context) error {
	var u Upstream
	body := http.MaxBytesReader(e.Response(), e.Request().Body, maxBody)
	if err := json.UnmarshalRead(body, &u, json.RejectUnknownMembers(true)); err != nil {
		return e.String(http.StatusBadRequest, "malformed description of the upstream: "+err.Error()+"\n")
	}
	if field, reason := u.check(); field != "" {
		return e.String(http.StatusBadRequest, field+" "+reason+"\n")
	}
	taken := make(chan bool, 1)
	if !a.c.Go(jobKey, func() { taken <- a.put(u) }) || !<-taken {
		return e.String(http.StatusConflict, "a planned stop is running\n")
	}
	return e.NoContent(http.StatusNoContent)
}

// deleteUpstream runs the planned stop and answers when no call is in flight.
func (a *Announce) deleteUpstream(e echo.Context) error {
	left := make(chan struct{})
	a.c.Go(jobKey, func() { a.Leave(func() { close(left) }) })
	select {
	case <-left:
		return e.NoContent(http.StatusNoContent)
	case <-e.Request().Context().Done():
		return e.NoContent(http.StatusServiceUnavailable)
	}
}
