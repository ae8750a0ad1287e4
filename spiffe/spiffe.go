// Package spiffe gives the webhook front its identities: mutual TLS with X.509 SVIDs from files or from any source
// of go-spiffe, such as a Workload API client.
//
// It owns the files' reload and the reading of a peer's ID. It must never accept a peer without an ID that the
// caller named.
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

// Source is where an identity and the bundles to check others come from.
type Source interface {
	x509svid.Source
	x509bundle.Source
}

// Files is a Source of PEM files. Reload may be called while connections come and go.
type Files struct {
	svid, key, bundle string
	now               atomic.Pointer[identity]
}

type identity struct {
	svid   *x509svid.SVID
	bundle *x509bundle.Bundle
}

// NewFiles reads an SVID, its key, and the bundle of its trust domain.
func NewFiles(svid, key, bundle string) (*Files, error) {
	f := &Files{svid: svid, key: key, bundle: bundle}
	return f, f.Reload()
}

// Reload reads the files again. An error leaves the identity in force as it is.
func (f *Files) Reload() error {
	s, err := x509svid.Load(f.svid, f.key)
	if err != nil {
		return fmt.Errorf("spiffe: %w", err)
	}
	b, err := x509bundle.Load(s.ID.TrustDomain(), f.bundle)
	if err != nil {
		return fmt.Errorf("spiffe: %w", err)
	}
	f.now.Store(&identity{s, b})
	return nil
}

// Watch reloads at every tick until ctx ends.
func (f *Files) Watch(ctx context.Context, ticks <-chan time.Time, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if err := f.Reload(); err != nil {
				log.Error("SVID not reloaded, the old one stays", "err", err)
			}
		}
	}
}

// GetX509SVID implements x509svid.Source.
func (f *Files) GetX509SVID() (*x509svid.SVID, error) { return f.now.Load().svid, nil }

// GetX509BundleForTrustDomain implements x509bundle.Source.
func (f *Files) GetX509BundleForTrustDomain(td spiffeid.TrustDomain) (*x509bundle.Bundle, error) {
	return f.now.Load().bundle.GetX509BundleForTrustDomain(td)
}

// ServerTLS takes connections of the named identities alone.
func ServerTLS(s Source, ids ...spiffeid.ID) *tls.Config {
	c := tlsconfig.MTLSServerConfig(s, s, tlsconfig.AuthorizeOneOf(ids...))
	c.MinVersion = tls.VersionTLS12
	return c
}

// ClientTLS connects to the named identities alone.
func ClientTLS(s Source, ids ...spiffeid.ID) *tls.Config {
	c := tlsconfig.MTLSClientConfig(s, s, tlsconfig.AuthorizeOneOf(ids...))
	c.MinVersion = tls.VersionTLS12
	return c
}

// Peer is the identity at the other end of a connection that one of the above configurations verified.
func Peer(t *tls.ConnectionState) (spiffeid.ID, error) {
	if t == nil || len(t.PeerCertificates) == 0 {
		return spiffeid.ID{}, errors.New("spiffe: the peer showed no certificate")
	}
	return x509svid.IDFromCert(t.PeerCertificates[0])
}
