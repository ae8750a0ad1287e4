// Package echomw adapts package middleware to the Echo framework.
package echomw

import (
	"github.com/labstack/echo/v4"

	"oakthread/middleware"
)

// Dispatch returns middleware.Dispatch as Echo middleware.
func Dispatch(core middleware.Doer, read middleware.Reader) echo.MiddlewareFunc {
	return echo.WrapMiddleware(middleware.Dispatch(core, read))
}
