package webhook

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/spiffe"
)

// authority is a trust domain that writes the SVIDs that it signs to files.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "ca", "spiffe://trentvale.example", true)
	return a
}

func (a *authority) issue(t *testing.T, name, id string, ca bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	u, err := url.Parse(id)
	require.NoError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), URIs: []*url.URL{u}, IsCA: ca,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	parent, signer := a.cert, a.key
	if ca {
		tmpl.KeyUsage, parent, signer = x509.KeyUsageCertSign, tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})
	require.NoError(t, os.WriteFile(a.path(name+".pem"), certPEM, 0o600))
	require.NoError(t, os.WriteFile(a.path(name+".key"), keyPEM, 0o600))
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return cert, key
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) files(t *testing.T, name, id string) *spiffe.Files {
	a.issue(t, name, id, false)
	f, err := spiffe.NewFiles(a.path(name+".pem"), a.path(name+".key"), a.path("ca.pem"))
	require.NoError(t, err)
	return f
}

// Over real sockets an operator's key is valid only under that operator's SPIFFE ID, an unknown
// identity gets no connection, and the dispatcher's own SVID can be renewed while it serves.
func TestOperatorIdentityIsEnforced(t *testing.T) {
	const root = "spiffe://trentvale.example/"
	ca := newAuthority(t)
	ca.issue(t, "daemon", root+"oakthread", false)
	keys := ca.path("keys-a")
	require.NoError(t, os.WriteFile(keys, []byte(secret(1)), 0o600))
	require.NoError(t, os.WriteFile(ca.path("keys-b"), []byte(secret(2)), 0o600))
	o := &Options{State: ca.path("state.db"), Operators: []Operator{
		{Name: "a", Tenant: tenants[0], KeysFile: keys, SPIFFEID: root + "a"},
		{Name: "b", Tenant: tenants[1], KeysFile: ca.path("keys-b"), SPIFFEID: root + "b"}}}
	o.SPIFFE.SVID, o.SPIFFE.Key, o.SPIFFE.Bundle = ca.path("daemon.pem"), ca.path("daemon.key"), ca.path("ca.pem")
	require.NoError(t, o.applyDefaults())
	core := newFakeCore()
	f, err := Open(o, core, classes, tenants, nil, discardLog)
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx, ln, nil) }()

	daemon := spiffeid.RequireFromString(root + "oakthread")
	send := func(src spiffe.Source, key, id string) (int, error) {
		body := requestBody("path-book", testFunction, "x")
		req, err := http.NewRequest(http.MethodPost, "https://"+ln.Addr().String()+"/webhooks", bytes.NewReader(body))
		require.NoError(t, err)
		req.Header = signed(t, key, id, time.Now(), body)
		client := &http.Client{
			Transport: &http.Transport{TLSClientConfig: spiffe.ClientTLS(src, daemon), DisableKeepAlives: true},
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}
	a, stranger := ca.files(t, "a", root+"a"), ca.files(t, "c", root+"c")
	code, err := send(a, secret(1), "m1")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	code, err = send(a, secret(2), "m2")
	require.NoError(t, err)
	assert.Equal(t, 403, code, "another operator's key")
	_, err = send(stranger, secret(1), "m3")
	require.Error(t, err, "an identity that no operator has")
	_, err = send(newAuthority(t).files(t, "a", root+"a"), secret(1), "m4")
	require.Error(t, err, "the right name, by another authority")

	ca.issue(t, "daemon", root+"oakthread", false)
	require.NoError(t, f.svidFiles.Reload())
	code, err = send(a, secret(1), "m5")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	require.NoError(t, os.WriteFile(ca.path("daemon.pem"), []byte("half written"), 0o600))
	require.Error(t, f.svidFiles.Reload())
	code, err = send(a, secret(1), "m6")
	require.NoError(t, err)
	assert.Equal(t, 200, code, "the old identity stays")
	assert.Equal(t, map[string]int{"m1": 1, "m5": 1, "m6": 1}, core.runs)
	stop()
	require.NoError(t, <-done)
}
