// Package admin serves metrics, health and readiness over HTTP, and JSON pages that other plug-ins
// add.
package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/plugin/pressure"
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Admin is the plug-in. Readiness checks and pages must be added before Start.
type Admin struct {
	c      *kernel.Context
	s      *Settings
	echo   *echo.Echo
	server *http.Server
	checks []func() error
}

func newAdmin(c *kernel.Context) *Admin {
	a := &Admin{c: c, s: c.Settings.(*Settings), echo: echo.New()}
	a.echo.GET("/metrics", a.serveMetrics)
	a.echo.GET("/healthz", func(e echo.Context) error { return e.String(http.StatusOK, "ok\n") })
	a.echo.GET("/readyz", a.serveReadiness)
	return a
}

// AddReadinessCheck adds a readiness check. While a check returns an error, /readyz responds with
// 503 and the text of the error. Checks run on the goroutine of the HTTP request and must not block.
func (a *Admin) AddReadinessCheck(check func() error) { a.checks = append(a.checks, check) }

// AddPage adds a read-only page at path. Each request calls value and receives the result as JSON.
func (a *Admin) AddPage(path string, value func() any) {
	a.echo.GET(path, func(e echo.Context) error { return e.JSON(http.StatusOK, value()) })
}

// Start implements kernel.Plugin.
func (a *Admin) Start(context.Context) error {
	if a.s.Listen == "" {
		return nil
	}
	l, err := net.Listen("tcp", a.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for admin requests")
	}
	a.server = &http.Server{Handler: a.echo, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: httphead.MaxBytes}
	pressure.ServeHTTP(a.c, a.server, l, pressure.Admin)
	return nil
}

// Stop implements kernel.Plugin.
func (a *Admin) Stop(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	return a.server.Shutdown(ctx)
}

func (a *Admin) serveMetrics(e echo.Context) error {
	e.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	a.c.Metrics.WritePrometheus(e.Response())
	metrics.WriteProcessMetrics(e.Response())
	return nil
}

// CheckReadiness runs the readiness checks until one fails and returns its error.
func (a *Admin) CheckReadiness() error {
	for _, check := range a.checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (a *Admin) serveReadiness(e echo.Context) error {
	if err := a.CheckReadiness(); err != nil {
		return e.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return e.String(http.StatusOK, "ready\n")
}
