// Package echomw is the middleware for the Echo framework.
//
// It owns the translation between the two kinds of middleware and must never do more than that.
package echomw

import (
	"github.com/labstack/echo/v4"

	"oakthread/middleware"
)

// Dispatch sends the requests that read makes calls of to the core; Echo's other handlers get the rest.
func Dispatch(core middleware.Doer, read middleware.Reader) echo.MiddlewareFunc {
	return echo.WrapMiddleware(middleware.Dispatch(core, read))
}
