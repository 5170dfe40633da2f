package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/celeryyard/celeryyard/core/lint"
)

// configurationView is the body of GET /v1/configuration.
type configurationView struct {
	freshness
	lint.Redacted
}

// getConfiguration responds with the whole configuration in force, which all organisations share, without API keys.
func (o *Operator) getConfiguration(e echo.Context) error {
	return o.serveRead(e, func(f freshness) response {
		return response{http.StatusOK, configurationView{f, lint.Redact(o.catalog.Configuration())}}
	})
}
