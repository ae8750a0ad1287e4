package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	const (
		userField, systemField = 11, 12 // counted after the program name, see proc(5)
		clockTick              = 10 * time.Millisecond
	)
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+2:])
	user, err := strconv.Atoi(fields[userField])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[systemField])
	require.NoError(t, err)
	return time.Duration(user+system) * clockTick
}

// Idle clients occupy all sockets that they can get while discovery is down. Another client still
// gets responses, the endpoint watch connects once discovery is back, connections to workers
// succeed, and the program neither ends nor busy-loops.
func TestIdleClientsAtDescriptorLimit(t *testing.T) {
	t.Parallel()
	const limit = 120
	worker, channel, addr := startWorker(t, echo), unusedAddr(t), unusedAddr(t)
	program := startProcess(t, configuration(addr, channel, "", settings), fmt.Sprintf("%s=%d", fdLimitEnv, limit))
	program.await("msg=serving")
	for range 400 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Equal(t, 503, ping(t, client, addr), "no endpoint list yet")
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.Process.Pid))
	require.NoError(t, err)
	assert.Greater(t, len(open), limit/3, "open descriptors: idle clients hold as many as they can get")
	assert.Less(t, len(open), limit-20, "open descriptors: some remain for the watch and the workers")

	discovery, err := net.Listen("tcp", channel)
	require.NoError(t, err)
	defer discovery.Close()
	watch, err := discovery.Accept()
	require.NoError(t, err)
	defer watch.Close()
	_, err = io.WriteString(watch, endpointList(worker)+"\n1\n")
	require.NoError(t, err)
	awaitReady(t, client, addr)
	status, body := call(t, addr, "path-check", callID)
	assert.Equal(t, "200 x", fmt.Sprint(status, " ", body))

	before, began := processorTime(t, program.Process.Pid), time.Now()
	time.Sleep(time.Second) // processor time is measured over this second
	assert.Less(t, processorTime(t, program.Process.Pid)-before, time.Since(began)/2, "processor time while idle")
	program.signal(syscall.SIGTERM)
	program.awaitExit()
}
