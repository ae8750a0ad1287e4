package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The program answers calls over HTTP/1.1 and HTTP/2. A malformed call does not affect others.
func TestProgramServes(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	addr, http2Addr := unusedAddr(t), unusedAddr(t)
	options := filepath.Join(t.TempDir(), "oakthread.toml")
	require.NoError(t, os.WriteFile(options, []byte("[http2]\nlisten = '"+http2Addr+"'\n"), 0o600))
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},`+
		`"known":{"cursor":1,"cmds":[%s]},"settings":%s}`, addr, endpointList(worker), settings)
	program := startDaemon(t, config, "--config", options)
	program.log.await("msg=serving")
	unencrypted := &http.Protocols{}
	unencrypted.SetUnencryptedHTTP2(true)
	http2Client := &http.Client{Transport: &http.Transport{Protocols: unencrypted}}
	for _, test := range []struct {
		addr     string
		client   *http.Client
		protocol int
	}{
		{addr, http.DefaultClient, 1},
		{http2Addr, http2Client, 2},
	} {
		for id, want := range map[string]int{callID: 200, "short": 400} {
			status, _, protocol := send(t, test.client, test.addr, function, "path-check", id)
			assert.Equal(t, want, status)
			assert.Equal(t, test.protocol, protocol)
		}
	}
	program.stop()
}
