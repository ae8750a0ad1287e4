package daemon

import (
	"oakthread/internal/config"
	"oakthread/internal/h2"
)

// http2Options returns the options of the HTTP/2 server, or nil if the configuration file turns it
// off.
func http2Options(file *config.File) *h2.Options {
	if file == nil || file.HTTP2 == nil {
		return nil
	}
	return &h2.Options{Listen: file.HTTP2.Listen, Conns: file.HTTP2.MaxConns, Streams: file.HTTP2.MaxStreams}
}
