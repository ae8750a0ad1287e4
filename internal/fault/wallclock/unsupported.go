//go:build !(linux && cgo && (amd64 || arm64))

// Package wallclock steps the wall clock of the running process. This platform is not supported.
package wallclock

import (
	"errors"
	"time"
)

// ErrUnsupported states that the wall clock of this process cannot be stepped.
var ErrUnsupported = errors.New("wallclock: needs linux, amd64 or arm64, and cgo")

// Set returns ErrUnsupported.
func Set(time.Duration) error { return ErrUnsupported }
