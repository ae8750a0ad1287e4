//go:build !(linux && amd64 && cgo)

// Package wallclock steps the wall clock of the running process; on this platform it cannot.
package wallclock

import (
	"errors"
	"time"
)

// ErrUnsupported says that this process's vDSO cannot be changed as this package needs.
var ErrUnsupported = errors.New("wallclock: needs linux, amd64 and cgo")

// Set returns ErrUnsupported.
func Set(time.Duration) error { return ErrUnsupported }
