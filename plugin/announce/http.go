package announce

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/plugin/pressure"
)

// maxRequestBodyBytes is the maximum size of a request body, which describes an upstream. A request
// with a larger body is refused.
const maxRequestBodyBytes = 4096

// requestReadTimeout is the maximum time to read a request; after it, the connection is closed.
const requestReadTimeout = 5 * time.Second

// listen starts the local HTTP server for the upstream.
func (a *Announce) listen() error {
	if a.s.Listen == "" {
		return nil
	}
	l, err := net.Listen("tcp", a.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the upstream")
	}
	e := echo.New()
	e.PUT("/v1/upstream", a.handlePutUpstream)
	e.DELETE("/v1/upstream", a.handleDeleteUpstream)
	a.server = &http.Server{Handler: e, ReadTimeout: requestReadTimeout, MaxHeaderBytes: httphead.MaxBytes}
	pressure.ServeHTTP(a.c, a.server, l, pressure.Upstreams)
	return nil
}

func (a *Announce) handlePutUpstream(e echo.Context) error {
	var u Upstream
	body := http.MaxBytesReader(e.Response(), e.Request().Body, maxRequestBodyBytes)
	if err := json.UnmarshalRead(body, &u, json.RejectUnknownMembers(true)); err != nil {
		return e.String(http.StatusBadRequest, "malformed description of the upstream: "+err.Error()+"\n")
	}
	if field, reason := u.validate(); field != "" {
		return e.String(http.StatusBadRequest, field+" "+reason+"\n")
	}
	accepted := make(chan bool, 1)
	if !a.c.Go(jobKey, func() { accepted <- a.setUpstream(u) }) || !<-accepted {
		return e.String(http.StatusConflict, "a planned stop is running\n")
	}
	return e.NoContent(http.StatusNoContent)
}

// handleDeleteUpstream runs the planned stop and responds when it is complete.
func (a *Announce) handleDeleteUpstream(e echo.Context) error {
	done := make(chan struct{})
	a.c.Go(jobKey, func() { a.Leave(func() { close(done) }) })
	select {
	case <-done:
		return e.NoContent(http.StatusNoContent)
	case <-e.Request().Context().Done():
		return e.NoContent(http.StatusServiceUnavailable)
	}
}
