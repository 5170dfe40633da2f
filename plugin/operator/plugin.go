// Package operator serves the operators' HTTP API: it authenticates operators, submits their
// changes to the catalog and returns the state that their organisation may see.
package operator

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"github.com/celeryyard/celeryyard/core/api"
	"github.com/celeryyard/celeryyard/core/httphead"
	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/admin"
	"github.com/celeryyard/celeryyard/plugin/catalog"
	"github.com/celeryyard/celeryyard/plugin/intake"
	"github.com/celeryyard/celeryyard/plugin/pressure"
	"github.com/celeryyard/celeryyard/plugin/quota"
	"github.com/celeryyard/celeryyard/plugin/rollouts"
)

var (
	evListening    = event.Declare(450, zerolog.InfoLevel, "listening for operators")
	evInvalidToken = event.Declare(451, zerolog.WarnLevel, "operator request without a valid token")
	evRefused      = event.Declare(452, zerolog.InfoLevel, "change refused before it reached the log")
	evUndecided    = event.Declare(453, zerolog.InfoLevel, "outcome of the change is unknown; the operator has to send it again")
)

// Limits of the operators' connections.
const (
	readTimeout  = 10 * time.Second
	idleTimeout  = 60 * time.Second
	writeTimeout = maxTimeout + 10*time.Second
	// maxConnections bounds the memory of connections that are not yet authenticated; further
	// connections wait in the listener's backlog.
	maxConnections = 1024
)

// Capacity is the interface of the plug-in "capacity" that operator uses.
type Capacity interface {
	// MeanWork returns the time that a call of a class takes at the upstreams of a service; 0 if it is not known.
	MeanWork(service, class string) time.Duration
}

// Operator is the plug-in. It owns no shared table; its fields but undecided are read-only after Start.
type Operator struct {
	c       *kernel.Context
	s       *Settings
	log     api.Log
	catalog *catalog.Catalog
	intake  *intake.Intake
	// fleet is the plug-in "distribution"; nil if the program does not contain it.
	fleet api.Fleet
	// discovery is nil if the program does not contain the plug-in "discovery".
	discovery api.Discovery
	// rollouts is nil if the program does not contain the plug-in "rollouts".
	rollouts *rollouts.Rollouts
	// quota is nil if the program does not contain the plug-in "quota", and capacity if not the plug-in "capacity".
	quota    *quota.Quota
	capacity Capacity
	tokens   *tokenTable
	echo     *echo.Echo
	server   *http.Server
	// limits maps the name of each organisation to its limits.
	limits map[string]*organisationLimits
	// undecided bounds the log lines of changes without a decision.
	undecided repeats

	requests, badTokens *metrics.Counter
}

func newOperator(c *kernel.Context) *Operator {
	o := &Operator{
		c: c, s: c.Settings.(*Settings), log: kernel.MustFind[api.Log](c, "quorum"),
		catalog: kernel.MustFind[*catalog.Catalog](c, "catalog"), intake: kernel.MustFind[*intake.Intake](c, "intake"), echo: echo.New(),
		requests:  c.Metrics.NewCounter("celeryyard_operator_requests_total"),
		badTokens: c.Metrics.NewCounter("celeryyard_operator_refused_tokens_total"),
	}
	o.fleet, _ = kernel.Find[api.Fleet](c, "distribution")
	o.discovery, _ = kernel.Find[api.Discovery](c, "discovery")
	o.rollouts, _ = kernel.Find[*rollouts.Rollouts](c, "rollouts")
	o.quota, _ = kernel.Find[*quota.Quota](c, "quota")
	o.capacity, _ = kernel.Find[Capacity](c, "capacity")
	if a, ok := kernel.Find[*admin.Admin](c, "admin"); ok {
		a.AddReadinessCheck(o.checkReady)
	}
	o.registerRoutes()
	return o
}

// checkReady returns an error if the instance can serve neither operators nor nodes. An instance
// that is isolated from the quorum but holds a configuration is ready.
func (o *Operator) checkReady() error {
	if o.catalog.Version() == 0 && o.log.Status().Confirmed.IsZero() {
		return errors.New("the instance holds no configuration and has not reached the quorum since its start")
	}
	return nil
}

func (o *Operator) registerRoutes() {
	o.echo.HTTPErrorHandler = writeError
	g := o.echo.Group("/v1", o.authenticate)
	g.POST("/changes", o.postChange)
	g.GET("/changes/:id", o.getChange)
	g.GET("/templates", o.getTemplates)
	g.GET("/teams", o.getTeams)
	g.GET("/history", o.getHistory)
	g.GET("/audit", o.getAudit)
	g.GET("/status", o.getStatus)
	g.GET("/explain", o.getExplain)
	g.GET("/configuration", o.getConfiguration)
	g.GET("/callers", o.getCallers)
	if o.rollouts != nil {
		g.POST("/rollouts", o.postRollout)
		g.GET("/rollouts/:service", o.getRollout)
	}
}

// Start implements kernel.Plugin.
func (o *Operator) Start(context.Context) error {
	if o.s.Listen == "" {
		return nil
	}
	if err := o.loadTokens(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	o.c.Log.Log(evListening).Str("address", l.Addr().String()).Send()
	l = netutil.LimitListener(l, maxConnections)
	o.server = &http.Server{
		Handler: o.echo, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: httphead.MaxBytes,
	}
	pressure.ServeHTTP(o.c, o.server, l, pressure.Operators)
	return nil
}

// Stop implements kernel.Plugin. It waits for the requests in progress.
func (o *Operator) Stop(ctx context.Context) error {
	if o.server == nil {
		return nil
	}
	return o.server.Shutdown(ctx)
}

func (o *Operator) loadTokens() error {
	t, entries, err := readTokens(o.s.TokensFile)
	if err != nil {
		return err
	}
	o.tokens, o.limits = t, map[string]*organisationLimits{}
	for _, e := range entries {
		o.limits[e.Organisation] = newOrganisationLimits(o.s)
	}
	return nil
}

// readTokens reads and validates a tokens file.
func readTokens(path string) (*tokenTable, []tokenEntry, error) {
	f, err := settings.Load(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "tokens file")
	}
	if err := f.RejectUnknownSections(map[string]bool{"operators": true}); err != nil {
		return nil, nil, err
	}
	var entries []tokenEntry
	if err := f.Decode("operators", &entries); err != nil {
		return nil, nil, err
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, nil, errors.Wrap(err, "key for token hashes")
	}
	t, err := newTokenTable(key, entries)
	return t, entries, errors.Wrapf(err, "%s: operators", path)
}
