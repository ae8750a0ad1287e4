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

// authority is the certificate authority of a trust domain. It writes the SVIDs that it signs to
// files in dir.
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
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), URIs: []*url.URL{u}, IsCA: ca,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
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

// trustDomain is the prefix of the SPIFFE IDs in the test.
const trustDomain = "spiffe://trentvale.example/"

// identityFront is a front that serves operators a and b over mTLS. Their signing keys are secrets
// 1 and 2.
type identityFront struct {
	*Front
	core    *fakeCore
	address string
	stop    func() error // waits for the end of Serve and returns its error
}

func startIdentityFront(t *testing.T, ca *authority) *identityFront {
	t.Helper()
	ca.issue(t, "daemon", trustDomain+"oakthread", false)
	require.NoError(t, os.WriteFile(ca.path("keys-a"), []byte(secret(1)), 0o600))
	require.NoError(t, os.WriteFile(ca.path("keys-b"), []byte(secret(2)), 0o600))
	options := &Options{State: ca.path("state.db"), Operators: []Operator{
		{Name: "a", Tenant: tenants[0], KeysFile: ca.path("keys-a"), SPIFFEID: trustDomain + "a"},
		{Name: "b", Tenant: tenants[1], KeysFile: ca.path("keys-b"), SPIFFEID: trustDomain + "b"},
	}}
	options.SPIFFE.SVID = ca.path("daemon.pem")
	options.SPIFFE.Key = ca.path("daemon.key")
	options.SPIFFE.Bundle = ca.path("ca.pem")
	require.NoError(t, options.applyDefaults())
	core := newFakeCore()
	front, err := Open(options, core, classSource(), tenants, nil, discardLog)
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- front.Serve(ctx, func() (net.Listener, error) { return ln, nil }, nil, Drain{}) }()
	return &identityFront{Front: front, core: core, address: ln.Addr().String(), stop: func() error {
		cancel()
		return <-served
	}}
}

// send sends a message signed with secret over a connection that presents identity, and returns the
// status of the response.
func (f *identityFront) send(t *testing.T, identity spiffe.Source, secret, id string) (int, error) {
	t.Helper()
	body := requestBody("path-book", testFunction, "x")
	request, err := http.NewRequest(http.MethodPost, "https://"+f.address+"/webhooks", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header = signed(t, secret, id, time.Now(), body)
	tlsConfig := spiffe.ClientTLS(identity, spiffeid.RequireFromString(trustDomain+"oakthread"))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// Over real sockets, an operator's key is accepted only together with that operator's SPIFFE ID, an
// unknown identity gets no connection, and the dispatcher's own SVID can be renewed while it
// serves.
func TestOperatorIdentityIsEnforced(t *testing.T) {
	ca := newAuthority(t)
	f := startIdentityFront(t, ca)
	a, unknown := ca.files(t, "a", trustDomain+"a"), ca.files(t, "c", trustDomain+"c")
	code, err := f.send(t, a, secret(1), "m1")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	code, err = f.send(t, a, secret(2), "m2")
	require.NoError(t, err)
	assert.Equal(t, 403, code, "another operator's key")
	_, err = f.send(t, unknown, secret(1), "m3")
	require.Error(t, err, "an identity that no operator has")
	_, err = f.send(t, newAuthority(t).files(t, "a", trustDomain+"a"), secret(1), "m4")
	require.Error(t, err, "the same SPIFFE ID, issued by another authority")

	ca.issue(t, "daemon", trustDomain+"oakthread", false)
	require.NoError(t, f.svidFiles.Reload())
	code, err = f.send(t, a, secret(1), "m5")
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	require.NoError(t, os.WriteFile(ca.path("daemon.pem"), []byte("half written"), 0o600))
	require.Error(t, f.svidFiles.Reload())
	code, err = f.send(t, a, secret(1), "m6")
	require.NoError(t, err)
	assert.Equal(t, 200, code, "the previous SVID stays in use")
	assert.Equal(t, map[string]int{"m1": 1, "m5": 1, "m6": 1}, f.core.runs)
	require.NoError(t, f.stop())
}
