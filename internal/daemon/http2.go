package daemon

import (
	"oakthread/internal/config"
	"oakthread/internal/h2"
)

// http2 is the HTTP/2 front that the operator's file asks for; nil: none.
func http2(f *config.File) *h2.Options {
	if f == nil || f.HTTP2 == nil {
		return nil
	}
	return &h2.Options{Listen: f.HTTP2.Listen, Conns: f.HTTP2.Connections, Streams: f.HTTP2.Streams}
}
