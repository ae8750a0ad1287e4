package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEchoServer starts an HTTP server that returns the request body, and returns its address.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_,
			_ = io.Copy(w, r.Body)
	})}
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	return listener.Addr().String()
}

// Each fault has its effect on new and on open connections, and ends when the link is set to Open.
func TestRelayFaults(t *testing.T) {
	relay, err := StartRelay("127.0.0.1:0", startEchoServer(t))
	require.NoError(t, err)
	defer relay.Close()
	_, err = StartRelay("127.0.0.1:0", "192.0.2.1:80")
	require.ErrorContains(t, err, "not a loopback address")
	c := http.Client{Transport: &http.Transport{
		DialContext:           (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext,
		ResponseHeaderTimeout: 300 * time.Millisecond,
	}}
	request := func() error {
		resp, err := c.Post("http://"+relay.Addr, "text/plain", strings.NewReader("x"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		return err
	}
	require.NoError(t, request())
	before, _ := DroppedHandshakes()
	for _, test := range []struct {
		fault           Fault
		existing, fresh string // errors on the open connection and on a new one, by alternatives
	}{
		{Cut, "timeout awaiting", "i/o timeout"},
		{Deny, "refused|reset", "refused"},
		{Freeze, "timeout awaiting", "timeout awaiting"},
		{Reset, "reset|EOF", "reset|EOF"},
		{Cut, "timeout awaiting", "i/o timeout"},
	} {
		require.NoError(t, relay.Set(test.fault, 0))
		for _, want := range []string{test.existing, test.fresh} {
			err := request()
			require.Error(t, err, test.fault)
			ok := false
			for _, w := range strings.Split(want, "|") {
				ok = ok || strings.Contains(err.Error(), w)
			}
			assert.True(t, ok, "%s: %v", test.fault, err)
			c.CloseIdleConnections()
		}
		require.NoError(t, relay.Set(Open, 0))
		require.NoError(t, request(), "after %s", test.fault)
	}
	if now, ok := DroppedHandshakes(); ok {
		assert.GreaterOrEqual(t, now-before, int64(2), "a dropped handshake in each of the two cuts")
	}
	require.NoError(t, relay.Set(Open, 60*time.Millisecond))
	t0 := time.Now()
	require.NoError(t, request())
	assert.GreaterOrEqual(t, time.Since(t0), 120*time.Millisecond, "delayed in both directions")
	assert.NotEmpty(t, relay.Accepted())
	relay.Close()
	_, err = net.DialTimeout("tcp", relay.Addr, time.Second)
	require.Error(t, err)
}

// A datagram sent to the address of a peer arrives from the address that the receiver has for the
// sender. Loss, duplication and delay apply only to the links for which they are set.
func TestPeerNetworkCarriesDatagrams(t *testing.T) {
	var socks []*net.UDPConn
	var listens []string
	for range 3 {
		s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer s.Close()
		socks, listens = append(socks, s), append(listens, s.LocalAddr().String())
	}
	w, err := StartPeerNetwork(3, func(int, int) string { return "127.0.0.1:0" }, listens, 1)
	require.NoError(t, err)
	defer w.Close()
	send := func(i, j int, text string) {
		a, err := net.ResolveUDPAddr("udp", w.Peers(i)[j])
		require.NoError(t, err)
		_, err = socks[i].WriteToUDP([]byte(text), a)
		require.NoError(t, err)
	}
	read := func(j int) string {
		buf := make([]byte, 512)
		_ = socks[j].SetReadDeadline(time.Now().Add(5 * time.Second))
		n, from, err := socks[j].ReadFromUDP(buf)
		require.NoError(t, err)
		for i, p := range w.Peers(j) {
			if p == from.String() {
				return fmt.Sprint(i, " ", string(buf[:n]))
			}
		}
		return "unknown sender " + string(buf[:n])
	}
	send(0, 1, "a")
	assert.Equal(t, "0 a", read(1))
	w.Set(DropAll, func(from, to int) bool { return from == 0 && to == 1 })
	send(0, 1, "lost")
	send(1, 0, "back")
	assert.Equal(t, "1 back", read(0), "the opposite link is open")
	w.Set(PeerLink{Twice: 1}, func(from, _ int) bool { return from == 2 })
	send(2, 1, "two")
	assert.Equal(t, []string{"2 two", "2 two"}, []string{read(1), read(1)}, "and not the lost datagram")
	w.Set(PeerLink{Delay: 80 * time.Millisecond}, func(from, _ int) bool { return from == 2 })
	t0 := time.Now()
	send(2, 0, "late")
	assert.Equal(t, "2 late", read(0))
	assert.GreaterOrEqual(t, time.Since(t0), 80*time.Millisecond)
	assert.Len(t, w.Datagrams(), 5)
}

// Each check finds the violation in its input, and no other.
func TestCheckersDetectViolations(t *testing.T) {
	figures := PlannerFigures()
	observed := func(id string, class, after int, took, drains bool) ObservedCall {
		return ObservedCall{At: t0.Add(ms(after)), ID: id, Class: class, Admitted: took, Draining: drains}
	}
	id := func(n, call, attempt int) string { return fmt.Sprintf("%03x%010x%03x", n, call, attempt) }
	book := 2
	require.True(t, figures.Classes[book].NotIdempotent)
	once := []ObservedCall{
		observed(id(0, 1, 0), book, 0, true, false), observed(id(0, 2, 0), book, 0, false, false),
		observed(id(0, 3, 0), 0, 0, true, false),
	}
	assert.Zero(t, RunTwice(figures, once, []ObservedCall{
		observed(id(0, 2, 1), book, 9, true, false),
		observed(id(0, 3, 1), 0, 9, true, false),
	}))
	assert.Equal(t, 1, RunTwice(figures, once, []ObservedCall{observed(id(0, 1, 1), book, 9, true, false)}),
		"a retry at another worker")

	calls := []*Call{
		{Served: true, Intended: t0, Attempts: []Attempt{{Status: 503}, {Status: 200}}},
		{Intended: t0.Add(ms(5)), Attempts: []Attempt{{Lost: true, Sent: t0}}},
		{Intended: t0.Add(ms(8)), Attempts: []Attempt{{Status: 200, Wrong: true}}},
	}
	lost, wrong := Unanswered(calls, nil)
	assert.Equal(t, []int{1, 1}, []int{lost, wrong})
	lost, _ = Unanswered(calls, func(x Attempt) bool { return x.Sent.Equal(t0) })
	assert.Zero(t, lost)
	crossed := []*Call{{Attempts: []Attempt{{ID: id(0, 4, 0), CrossedClose: true}, {Status: 200}}}}
	for want, workers := range [][][]ObservedCall{{once}, {once, {observed(id(0, 4, 0), 0, 9, true, false)}}} {
		lost, _ = Unanswered(crossed, nil, workers...)
		assert.Equal(t, want, lost, "an attempt that crossed a close counts only if a worker saw it")
	}
	lost, _ = Unanswered(crossed, nil)
	assert.Equal(t, 1, lost, "without observations of workers it counts")
	assert.InDelta(t, 1.0/3, ServedShare(calls, t0, t0.Add(time.Second), nil), 1e-9)

	late := []ObservedCall{
		observed(id(1, 1, 0), 0, 900, false, true), observed(id(1, 2, 0), 0, 1200, false, true),
		observed(id(2, 1, 0), 0, 1200, false, true),
	}
	assert.Equal(t, 1, LateSends(map[int]time.Time{1: t0, 2: t0.Add(ms(500))}, late))

	at := func(offsets ...int) (out []time.Time) {
		for _, offset := range offsets {
			out = append(out, t0.Add(ms(offset)))
		}
		return out
	}
	assert.Zero(t, LoadQuotaExcess(at(0, 100, 200), at(0, 50, 150), time.Second, 2, 0.5, 0))
	assert.Equal(t, 1, LoadQuotaExcess(at(0, 100, 200, 300, 2000), at(0), time.Second, 2, 0.5, 0),
		"a fourth order in the window")
	assert.Equal(t, 1, Oversize([]Datagram{{Bytes: 256}, {Bytes: 257}}))
	assert.InDelta(t, 20, BytesPerCall([]Datagram{{At: t0, Bytes: 90}, {At: t0.Add(ms(5)), Bytes: 40}}, 2, t0,
		t0.Add(time.Second)), 1e-9)
}

// A message to most other dispatchers at once counts as a broadcast. The longest time without
// messages is also found at the end of the period.
func TestBroadcastsAndSilence(t *testing.T) {
	at := time.Unix(1000, 0)
	ms := func(n int) time.Time { return at.Add(time.Duration(n) * time.Millisecond) }
	datagrams := []Datagram{
		{ms(0), 0, 1, 9},
		{ms(1), 0, 2, 9},
		{ms(2), 0, 3, 9},
		{ms(300), 1, 2, 9},
		{ms(310), 2, 1, 9},
		{ms(700), 1, 0, 9},
		{ms(730), 1, 2, 9},
		{ms(760), 1, 3, 9},
	}
	assert.Equal(t, []Datagram{{ms(0), 0, 1, 9}}, Broadcasts(datagrams, 4),
		"the messages of 1 are spread over time: reports")
	all := func(int) bool { return true }
	assert.Equal(t, 390*time.Millisecond, LongestSilence(datagrams, all, ms(-10), ms(800)))
	assert.Equal(t, 2240*time.Millisecond, LongestSilence(datagrams, all, ms(-10), ms(3000)))
	assert.Equal(t, time.Second, LongestSilence(datagrams, func(n int) bool { return n == 0 }, ms(0), ms(1000)))
}

// A program that cannot be started must not leave a command without a process: Kill panicked on it
// when the rig was closed. The calibration experiment found this.
func TestProgramThatCannotStart(t *testing.T) {
	dir := t.TempDir()
	dispatcher := &Dispatcher{Dir: dir, Program: Program{Path: filepath.Join(dir, "none")}}
	require.Error(t, dispatcher.Start())
	assert.False(t, dispatcher.Running())
	assert.NoError(t, dispatcher.Kill())
}
