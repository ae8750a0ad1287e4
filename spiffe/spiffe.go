// Package spiffe configures mutual TLS with X.509 SVIDs, from files or from any source of
// go-spiffe, such as a client of the Workload API. A peer is accepted only if its SPIFFE ID is
// among those that the caller names.
package spiffe

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
)

// Source supplies the SVID of this process and the trust bundles that verify the SVIDs of peers.
type Source interface {
	x509svid.Source
	x509bundle.Source
}

// Files is a Source that reads PEM files. It is safe for concurrent use.
type Files struct {
	svidPath, keyPath, bundlePath string

	current atomic.Pointer[identity]
}

// identity is the result of one reading of the files.
type identity struct {
	svid   *x509svid.SVID
	bundle *x509bundle.Bundle
}

// NewFiles reads an SVID, its key and the trust bundle of its trust domain from files. It returns
// an error if one of them cannot be read or parsed.
func NewFiles(svidPath, keyPath, bundlePath string) (*Files, error) {
	f := &Files{svidPath: svidPath, keyPath: keyPath, bundlePath: bundlePath}
	return f, f.Reload()
}

// Reload reads the files again. On an error the identity that was read before stays in use.
func (f *Files) Reload() error {
	svid, err := x509svid.Load(f.svidPath, f.keyPath)
	if err != nil {
		return fmt.Errorf("spiffe: %w", err)
	}
	bundle, err := x509bundle.Load(svid.ID.TrustDomain(), f.bundlePath)
	if err != nil {
		return fmt.Errorf("spiffe: %w", err)
	}
	f.current.Store(&identity{svid, bundle})
	return nil
}

// Watch reloads the files at every tick until ctx is done, and logs errors.
func (f *Files) Watch(ctx context.Context, ticks <-chan time.Time, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if err := f.Reload(); err != nil {
				log.Error("SVID not reloaded, the old one stays", "error", err)
			}
		}
	}
}

// GetX509SVID implements x509svid.Source.
func (f *Files) GetX509SVID() (*x509svid.SVID, error) { return f.current.Load().svid, nil }

// GetX509BundleForTrustDomain implements x509bundle.Source.
func (f *Files) GetX509BundleForTrustDomain(domain spiffeid.TrustDomain) (*x509bundle.Bundle, error) {
	return f.current.Load().bundle.GetX509BundleForTrustDomain(domain)
}

// ServerTLS returns a TLS configuration that accepts connections only from peers with one of ids.
func ServerTLS(source Source, ids ...spiffeid.ID) *tls.Config {
	cfg := tlsconfig.MTLSServerConfig(source, source, tlsconfig.AuthorizeOneOf(ids...))
	cfg.MinVersion = tls.VersionTLS12
	return cfg
}

// ClientTLS returns a TLS configuration that connects only to peers with one of ids.
func ClientTLS(source Source, ids ...spiffeid.ID) *tls.Config {
	cfg := tlsconfig.MTLSClientConfig(source, source, tlsconfig.AuthorizeOneOf(ids...))
	cfg.MinVersion = tls.VersionTLS12
	return cfg
}

// Peer returns the SPIFFE ID of the peer of a connection whose peer certificate was verified under
// ServerTLS or ClientTLS. It returns an error if the connection has no peer certificate.
func Peer(state *tls.ConnectionState) (spiffeid.ID, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return spiffeid.ID{}, errors.New("spiffe: peer presented no certificate")
	}
	return x509svid.IDFromCert(state.PeerCertificates[0])
}
