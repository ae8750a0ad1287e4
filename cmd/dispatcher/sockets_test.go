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
		userField, systemField = 11, 12 // after the name of the program, see proc(5)
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

// Idle clients take all sockets that they can while discovery is down. Another client is still
// answered, the endpoint watch recovers with discovery, workers are connected to, and the program
// neither ends nor spins.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	const limit = 120
	worker, channel, addr := startWorker(t, echo), unusedAddr(t), unusedAddr(t)
	program := startProcess(t, configuration(addr, channel, "", settings), fmt.Sprintf("%s=%d", descriptors, limit))
	program.await("msg=serving")
	for range 400 {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Equal(t, 503, ping(t, client, addr), "no list yet")
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.Process.Pid))
	require.NoError(t, err)
	assert.Greater(t, len(open), limit/3, "the idle clients hold what they can")
	assert.Less(t, len(open), limit-20, "and leave room for the watch and the workers")

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
	time.Sleep(time.Second) // the time over which it is measured
	assert.Less(t, processorTime(t, program.Process.Pid)-before, time.Since(began)/2, "it spins")
	program.signal(syscall.SIGTERM)
	program.awaitExit()
}
