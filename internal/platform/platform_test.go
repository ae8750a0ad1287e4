package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/wire"
)

const settingsText = `{"categories":[{"name":"path-check","aim_ns":400000000,"give_up_ns":5000000000,"credit":1,"idempotency":"read_like"},
{"name":"path-book","aim_ns":750000000,"give_up_ns":4000000000,"credit":5,"idempotency":"non_idempotent"}],
"customers":[{"name":"ironbridge-haul","allowance_per_s":25}],"feedback":{"fields":["waiting","cpu"],"how":"inline"},
"kinds":["std-2core"],"zones":["north-room","south-room"],"my_number":0,"siblings":2,"quantum_ns":4000000,
"permissions":{"send_cap":3,"cancel":true,"peers":true,"connect_timeout_ns":250000000,"conn_idle_ns":15000000000,"max_retry_after_ns":1500000000},
"specifics":{"linger_idle_ns":8000000000,"on_miss":"load","load_control":true}}`

var quiet = slog.New(slog.DiscardHandler)

func setup(t testing.TB) *wire.Setup {
	s, err := wire.ReadSetup([]byte(settingsText))
	require.NoError(t, err)
	return s
}

func member(addr string) oakthread.Endpoint {
	return oakthread.Endpoint{ID: 1, Addr: addr, State: balancer.Active, Weight: 1}
}

func attempt(m oakthread.Endpoint, body string) oakthread.Attempt {
	return oakthread.Attempt{Worker: m, Deadline: time.Now().Add(time.Second), Request: &oakthread.Request{
		ID: "9b1f03aa5c7e2d41", Class: 1, Key: "7F3a9c21e0b4d655", Body: []byte(body)}}
}

func TestHeadOfACall(t *testing.T) {
	f := NewFront(nil, setup(t))
	for name, c := range map[string]struct {
		change, to string
		bad        bool
	}{
		"plain":            {},
		"no tenant":        {"X-Customer", "", false},
		"unknown tenant":   {"X-Customer", "acme", true},
		"unknown class":    {"X-Class", "call", true},
		"short id":         {"X-Call-Id", "12", true},
		"signed id":        {"X-Call-Id", "+b1f03aa5c7e2d41", true},
		"no patience":      {"X-Patience-Ms", "", true},
		"patience is past": {"X-Patience-Ms", "-4", true},
		"patience is NaN":  {"X-Patience-Ms", "NaN", true},
		"odd extras":       {"X-Extras", "lanes:two", true},
		"infinite extras":  {"X-Extras", "lanes:Inf", true},
		"other extras":     {"X-Extras", "colour:3;", false},
		"no lanes":         {"X-Extras", "lanes:0", true},
		"absurd lanes":     {"X-Extras", "lanes:1000000", true},
		"absurd memory":    {"X-Extras", "memory_mb:1e300", true},
		"absurd load":      {"X-Extras", "load_ms:1e15", true},
		"absurd patience":  {"X-Patience-Ms", "1e15", true},
	} {
		h := http.Header{"X-Class": {"path-book"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"1500"},
			"X-Customer": {"ironbridge-haul"}, "X-Extras": {"memory_mb:512;lanes:2;load_ms:640"}}
		if c.change != "" {
			h.Set(c.change, c.to)
		}
		q, err := f.head("7F3a9c21e0b4d655", h, time.Unix(100, 0))
		assert.Equal(t, c.bad, err != nil, "%s: %v", name, err)
		if name == "plain" {
			assert.Equal(t, oakthread.Request{ID: "9b1f03aa5c7e2d41", Class: 1, Func: 0x7f3a9c21e0b4d655, Key: "7F3a9c21e0b4d655",
				Deadline: time.Unix(101, 3e8), MemoryMB: 512, Concurrency: 2, LoadTime: 640 * time.Millisecond}, q)
		}
	}
	for mark, want := range map[string]bool{"": false, "0": false, "false": false, "1": true, "true": true} {
		h := http.Header{"X-Class": {"path-book"}, "X-Call-Id": {"9b1f03aa5c7e2d41"}, "X-Patience-Ms": {"1500"}, "X-Repeat": {mark}, "X-Dedupe-Key": {"k 1"}}
		q, err := f.head("7F3a9c21e0b4d655", h, time.Now())
		require.NoError(t, err)
		assert.Equal(t, want, q.Retry, mark)
		assert.Equal(t, "k 1", q.IdempotencyKey)
		h.Add("X-Dedupe-Key", "k 2")
		_, err = f.head("7F3a9c21e0b4d655", h, time.Now())
		assert.ErrorContains(t, err, "X-Dedupe-Key stands there 2 times")
	}
	_, err := f.head("no-function", http.Header{}, time.Now())
	assert.Error(t, err)
	_, err = f.head("7F3a9c21e0b4d655", http.Header{"X-Class": {"path-book"}, "X-Patience-Ms": {"1500"},
		"X-Call-Id": {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"}}, time.Now())
	assert.ErrorContains(t, err, "2 times")
	assert.Less(t, headerTime+bodyTime, answerOwed, "a head that comes late and a body that never does")
}

func TestConfigAndEvents(t *testing.T) {
	whole := `{"name":"n3","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","peers":["127.0.0.1:2"],"channel":"127.0.0.1:3",
		"known":{"cursor":3,"cmds":[{"cursor":2,"nodes":{"complete":true,"members":[{"id":"s-00c41f7a","host_port":"127.0.0.1:4",
		"locality":"south-room","flavor":"std-2core","cell":2,"phase":"Ready","size":4,"up_since_ms":5}]}}]},"settings":` + settingsText + `}`
	c, err := parseConfig([]byte(whole))
	require.NoError(t, err)
	assert.Equal(t, int64(3), c.Cursor)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Equal(t, oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{{ID: 0xc41f7a, Addr: "127.0.0.1:4",
		Zone: 1, Cell: 2, State: balancer.Active, Weight: 4, Start: time.UnixMilli(5)}}}, c.Known[0].Roster)
	for old, bad := range map[string]string{`"8c1f`: `"xx`, `"127.0.0.1:2"`: `"nowhere"`, `"127.0.0.1:3"`: `"x"`,
		`"Ready"`: `"Odd"`, `"127.0.0.1:4"`: `""`, `"settings"`: `"unset"`, `"s-00c41f7a"`: `""`, `{"cursor":2,`: `{`} {
		_, err := parseConfig([]byte(strings.Replace(whole, old, bad, 1)))
		assert.Error(t, err, bad)
	}
	for line, want := range map[string]Event{"41": {Cursor: 41, Beat: true},
		`{"cursor":4,"new":{}}`: {Cursor: 4, Roster: oakthread.EndpointUpdate{Kind: balancer.EndpointsDelta}}} {
		ev, err := parseEvent([]byte(line), c.Setup)
		require.NoError(t, err, line)
		assert.Equal(t, want, ev)
	}
}

// Guards against a wrong proof that nothing ran: for a booking that would be a second one.
func TestWhatAnAnswerProves(t *testing.T) {
	f := NewFleet(setup(t), 10)
	for _, c := range []struct {
		status int
		header string
		want   balancer.Result
		warmth balancer.Warmth
	}{
		{200, "X-Tell: hit", balancer.OK, balancer.WarmHit},
		{200, "X-Tell: pending", balancer.OK, balancer.AwaitedLoad},
		{404, "X-Tell: spawn_failed", balancer.NotLoaded, balancer.LoadFailed},
		{500, "X-Tell: spawn_failed", balancer.Error, balancer.LoadFailed},
		{503, "X-No-Effect: 1", balancer.QueueFull, 0},
		{503, "", balancer.Error, 0},
		{503, "X-No-Effect: 0", balancer.Error, 0},
		{504, "X-No-Effect: 1", balancer.NotSent, 0},
		{504, "", balancer.Error, 0},
		{429, "X-No-Effect: 1", balancer.Error, 0},
		{302, "", balancer.Error, 0},
	} {
		h := http.Header{}
		if k, v, ok := strings.Cut(c.header, ": "); ok {
			h.Set(k, v)
		}
		r := f.reply(&http.Response{StatusCode: c.status, Header: h}, nil)
		assert.Equal(t, c.want, r.Result, "%d %s", c.status, c.header)
		assert.Equal(t, c.warmth, r.Warmth, "%d %s", c.status, c.header)
	}
	for text, want := range map[string][]float64{"queue:7;util:0.61": {7, 0.61}, "cpu:0.5;waiting:1": {1, 0.5},
		"queue:7": nil, "queue:x;util:1": nil, "queue:-1;util:1": nil, "": nil} {
		assert.Equal(t, want, f.report(text), text)
	}
}

// Guards against a change on the way: id, class, key and body reach the executor as they came.
func TestCallGoesOnUnchanged(t *testing.T) {
	body := string([]byte{0, 255, '\r', '\n', 0x80})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		h := r.Header
		fmt.Fprintf(w, "%s %s %s %s %q %v", r.Method, r.RequestURI, h.Get("X-Hop-Id"), h.Get("X-Thing"), b, append(h["Accept-Encoding"], h["X-Replay-Key"]...))
	}))
	defer srv.Close()
	f := NewFleet(setup(t), 10)
	defer f.Close()
	m := member(srv.Listener.Addr().String())
	r := f.Send(t.Context(), attempt(m, body))
	assert.Equal(t, fmt.Sprintf("POST /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 %q []", body), string(r.Body))
	a := attempt(m, body)
	a.Request.IdempotencyKey = "3f:a b;c"
	r = f.Send(t.Context(), a)
	assert.Equal(t, fmt.Sprintf("POST /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 %q [3f:a b;c]", body), string(r.Body))
	r = f.Send(t.Context(), attempt(m, ""))
	assert.Equal(t, `GET /c/path-book 9b1f03aa5c7e2d41 7F3a9c21e0b4d655 "" []`, string(r.Body), "no body is a GET")
	o := oakthread.LoadOrder{Worker: m, Key: "7F3a9c21e0b4d655", Count: 2}
	assert.Equal(t, balancer.OK, f.Load(t.Context(), o).Result)
}

// Guards against http.Transport's own repeats: on a reused connection that dies once the request is written, it
// would send a bodiless GET again, and a booking would run twice.
func TestOneAttemptIsOneRequest(t *testing.T) {
	for _, body := range []string{"", "book"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		var seen atomic.Int64
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					rd := bufio.NewReader(c)
					for n := 0; ; n++ {
						r, err := http.ReadRequest(rd)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						seen.Add(1)
						if n == 1 {
							return // it has the whole request, and dies
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		f := NewFleet(setup(t), 10)
		f.settle = 0 // the second goes on the same connection at once
		m := member(ln.Addr().String())
		assert.Equal(t, balancer.OK, f.Send(t.Context(), attempt(m, body)).Result)
		assert.Equal(t, balancer.Reset, f.Send(t.Context(), attempt(m, body)).Result, "it may have run")
		assert.Equal(t, int64(2), seen.Load(), "requests written for two attempts")
		f.Close()
	}
}

// Guards against blame for what never left: a refused connection and a want of sockets are proofs, each its own.
func TestNothingSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	f := NewFleet(setup(t), 1)
	assert.Equal(t, balancer.ConnectFailed, f.Send(t.Context(), attempt(member(addr), "x")).Result)
	assert.Empty(t, f.slots, "a failed dial keeps its socket")
	f.slots <- struct{}{}
	assert.Equal(t, balancer.NotSent, f.Send(t.Context(), attempt(member(addr), "x")).Result)
	assert.Equal(t, balancer.Timeout, failure(canceled(t), false, errors.New("cut")))
}

// Guards against blame for an executor whose new connections are reset, while they come up or before anything is
// written on them: another one is tried at once, once, and what ends here proves that nothing ran and that it lives.
func TestNewConnectionsAreReset(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	for name, reset := range map[string]func(net.Conn) (net.Conn, error){
		"coming up": func(c net.Conn) (net.Conn, error) {
			return nil, errors.Join(&net.OpError{Op: "dial", Err: syscall.ECONNRESET}, c.Close())
		},
		"just up": func(c net.Conn) (net.Conn, error) { return c, c.Close() },
	} {
		for resets, want := range []balancer.Result{balancer.OK, balancer.OK, balancer.NotSent} {
			f := NewFleet(setup(t), 10)
			dial, dials := f.reach, 0
			f.reach = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				if dials++; err != nil || dials > resets {
					return c, err
				}
				return reset(c)
			}
			assert.Equal(t, want, f.Send(t.Context(), attempt(member(srv.Listener.Addr().String()), "x")).Result, "%s, %d", name, resets)
			f.Close()
			assert.Empty(t, f.slots, "a reset connection keeps its socket")
		}
	}
}

func canceled(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// Guards against the connections of an executor that has gone serving its successor at the same address.
func TestAddressIsReused(t *testing.T) {
	var conns atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	f := NewFleet(setup(t), 10)
	defer f.Close()
	f.settle = 0 // connections are used again at once
	m := member(srv.Listener.Addr().String())
	f.Send(t.Context(), attempt(m, "x"))
	f.Send(t.Context(), attempt(m, "x"))
	assert.Equal(t, int64(1), conns.Load())
	m.Start = time.Unix(7, 0)
	f.Send(t.Context(), attempt(m, "x"))
	m.ID = 2
	f.Send(t.Context(), attempt(m, "x"))
	assert.Equal(t, int64(3), conns.Load())
}

// Guards against lost or doubled news over a broken channel: it resumes after the last event and skips known ones.
func TestChannelResumes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	event := func(n int) string {
		return fmt.Sprintf(`{"cursor":%d,"nodes":{"complete":false,"members":[]}}`+"\n", n)
	}
	asked := make(chan string, 8)
	go func() {
		for _, say := range []string{event(3) + event(4) + "4\nnot json\n", event(4) + "6\n",
			event(5) + event(7), event(6) + strings.TrimSpace(event(7)), event(9)} {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			asked <- line
			_, _ = io.WriteString(c, say)
			defer c.Close()
		}
	}()
	var mu sync.Mutex
	told := 0
	ctx, stop := context.WithCancel(t.Context())
	c := NewChannel(&Config{Channel: ln.Addr().String(), Cursor: 3, Setup: setup(t), Known: []Event{{Cursor: 3}}}, quiet)
	err = c.Watch(ctx, func(oakthread.EndpointUpdate) {
		mu.Lock()
		defer mu.Unlock()
		if told++; told == 5 { // the known one, 4, 5, 6, and 9 as the next
			stop()
		}
	})
	require.ErrorIs(t, err, context.Canceled)
	var got []string
	for range 5 {
		got = append(got, <-asked)
	}
	assert.Equal(t, []string{"resume 3\n", "resume 4\n", "resume 4\n", "resume 5\n", "resume 6\n"}, got)
	assert.Equal(t, int64(9), c.cursor)
}

// feed writes down what a channel tells.
type feed chan string

func (f feed) Told(r oakthread.EndpointUpdate, epoch string, cursor int64) {
	f <- fmt.Sprintf("told %d of %s, %d boxes, whole %v", cursor, epoch, len(r.Endpoints), r.Kind == balancer.EndpointsSnapshot)
}
func (f feed) Current()     { f <- "current" }
func (f feed) Lost()        { f <- "lost" }
func (f feed) StartedOver() { f <- "started over" }

// Guards a kept list's numbering: it goes on from its own number; a discovery with a lower one, or of another epoch, is
// read from the first event, whole; several addresses are asked in turn.
func TestChannelOfAKeptList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	whole := func(n int, epoch string) string {
		return fmt.Sprintf(`{"cursor":%d,"epoch":%q,"nodes":{"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:4","phase":"Ready"}]}}`+"\n", n, epoch)
	}
	var asked []string
	go func() {
		for _, say := range []string{"41\n40\n", whole(1, "e2") + "1\n", `{"cursor":1,"epoch":"e3"}` + "\n", whole(1, "e3") + whole(2, "e3") + "2\n"} {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			asked = append(asked, strings.TrimSpace(line))
			_, _ = io.WriteString(c, say)
			if !strings.HasSuffix(say, "2\n") {
				c.Close()
			} else {
				defer c.Close()
			}
		}
	}()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused.Close()
	c := NewChannel(&Config{Setup: setup(t)}, quiet)
	c.Keep(41, "e1", endpoints.NewDialer([]string{refused.Addr().String(), ln.Addr().String()}, 1))
	f, got := make(feed, 64), []string{}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Follow(ctx, f) }()
	for len(got) == 0 || !strings.HasPrefix(got[len(got)-1], "current") || len(got) < 8 {
		if x := <-f; x != "lost" { // how often depends on which address came first
			got = append(got, x)
		}
	}
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	assert.Equal(t, []string{"current", "started over", "told 1 of e2, 1 boxes, whole true", "current", "started over",
		"told 1 of e3, 1 boxes, whole true", "told 2 of e3, 1 boxes, whole true", "current"}, got)
	assert.Equal(t, []string{"resume 41", "resume 0", "resume 1", "resume 0"}, asked)
}

// Guards the rules on datagrams: 256 bytes at most, from known peers alone, known by their address.
func TestDatagrams(t *testing.T) {
	open := func(n int) *PeerTransport {
		s := setup(t)
		s.Number = n
		p, err := ListenPeers(&Config{PeerListen: "127.0.0.1:0", Setup: s}, quiet)
		require.NoError(t, err)
		return p
	}
	a, b, stranger := open(0), open(1), open(2)
	addr := func(p *PeerTransport) netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }
	for _, p := range []*PeerTransport{a, b, stranger} {
		p.peers = []netip.AddrPort{addr(a), addr(b)}
	}
	b.from = map[netip.AddrPort]int{addr(a): 0, addr(b): 1}
	stranger.SendMessage(1, "who")
	a.SendMessage(1, strings.Repeat("x", 257))
	a.SendMessage(-1, "hello")
	ctx, stop := context.WithCancel(t.Context())
	for _, p := range []*PeerTransport{a, stranger} {
		go func() { _ = p.Listen(ctx, func(int, string) {}) }()
	}
	var got []string
	_ = b.Listen(ctx, func(from int, data string) { got = append(got, fmt.Sprint(from, data)); stop() })
	assert.Equal(t, []string{"0hello"}, got)
}

// Guards against bad datagrams: what is too long or comes from nobody's address is dropped and counted, and what is
// handed on arrives byte for byte.
func TestBadDatagramsAreCounted(t *testing.T) {
	s := setup(t)
	s.Number = 1
	p, err := ListenPeers(&Config{PeerListen: "127.0.0.1:0", Setup: s}, quiet)
	require.NoError(t, err)
	dial := func() *net.UDPConn {
		c, err := net.DialUDP("udp", nil, p.conn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	peer, stranger := dial(), dial()
	p.from = map[netip.AddrPort]int{peer.LocalAddr().(*net.UDPAddr).AddrPort(): 0}
	for _, x := range []struct {
		from *net.UDPConn
		data string
	}{{stranger, "AAAA"}, {peer, strings.Repeat("x", 257)}, {peer, strings.Repeat("x", 9000)}, {peer, ""}, {stranger, ""}, {peer, "last"}} {
		_, err := x.from.Write([]byte(x.data))
		require.NoError(t, err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var got []string
	_ = p.Listen(ctx, func(from int, data string) {
		if got = append(got, data); data == "last" {
			stop()
		}
	})
	assert.Equal(t, []string{"", "last"}, got)
	strangers, long := p.Dropped()
	assert.Equal(t, [2]int64{2, 2}, [2]int64{strangers, long})
}

// Guards against a herd at discovery: dispatchers that lost it together do not come back together, and none waits for
// longer than what is told may be late.
func TestChannelsComeBackOneByOne(t *testing.T) {
	slots := map[time.Duration]int{}
	for seed := range uint64(80) {
		c := NewChannel(&Config{Channel: "127.0.0.1:4", Seed: seed, Setup: setup(t)}, quiet)
		_, wait := c.dialer.Next()
		require.Zero(t, wait, "the first connection is made at once")
		for range 12 {
			c.dialer.Failed()
			_, wait = c.dialer.Next()
			require.LessOrEqual(t, wait, channelMost)
		}
		slots[wait/(channelMost/8)]++
		c.move("127.0.0.1:5")
		addr, wait := c.dialer.Next()
		assert.Equal(t, "127.0.0.1:5", addr)
		assert.Zero(t, wait, "a move is followed at once")
	}
	for slot, n := range slots {
		assert.LessOrEqual(t, n, 24, "in the eighth %d of the wait", slot)
	}
}

// notify is a log that tells of each line.
type notify chan string

func (n notify) Write(b []byte) (int, error) {
	n <- string(b)
	return len(b), nil
}

// serve starts a front on a socket over one executor; end asks it to stop.
func serve(t *testing.T, linger time.Duration, lines notify, executor http.HandlerFunc) (url string, end func(), done chan error, front *Server) {
	ex := httptest.NewServer(executor)
	t.Cleanup(ex.Close)
	fleet := NewFleet(setup(t), 50)
	core, err := oakthread.New(oakthread.Config{Settings: setup(t).Decide(), Workers: fleet})
	require.NoError(t, err)
	t.Cleanup(core.Close)
	front = NewFront(core, setup(t))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, end := context.WithCancel(t.Context())
	done = make(chan error, 1)
	go func() {
		done <- front.Serve(ctx, ln, 50, linger, 5*time.Second, slog.New(slog.NewTextHandler(lines, nil)))
	}()
	url = "http://" + ln.Addr().String()
	resp, err := http.Get(url + "/ping")
	require.NoError(t, err)
	assert.Equal(t, 503, resp.StatusCode, "ready before a list was loaded")
	core.UpdateEndpoints(oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot, Endpoints: []oakthread.Endpoint{member(ex.Listener.Addr().String())}})
	core.Counters()
	resp, err = http.Get(url + "/ping")
	require.NoError(t, err)
	assert.Equal(t, 200, resp.StatusCode)
	return url, end, done, front
}

func post(t *testing.T, ctx context.Context, url, id string, body string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/call/7f3a9c21e0b4d655/trigger", strings.NewReader(body))
	require.NoError(t, err)
	req.Header = http.Header{"X-Class": {"path-book"}, "X-Call-Id": {id}, "X-Patience-Ms": {"3000"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards the whole path: the answer is the executor's; what is malformed is a 4xx, counted, and harms nothing; a
// refusal comes at once and says when to come back, in milliseconds only where the settings allow.
func TestFrontAnswers(t *testing.T) {
	url, end, done, front := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hop-Id") == "00000000000000ff" {
			w.Header().Set("X-No-Effect", "1")
			w.WriteHeader(504)
		}
		_, _ = io.Copy(w, r.Body)
	})
	resp, body, err := post(t, t.Context(), url, "0000000000000001", "a\x00b")
	require.NoError(t, err)
	assert.Equal(t, "200 a\x00b", fmt.Sprint(resp.StatusCode, " ", body))
	resp, _, err = post(t, t.Context(), url, "00000000000000ff", "x")
	require.NoError(t, err)
	assert.Equal(t, 503, resp.StatusCode)
	assert.Equal(t, "2", resp.Header.Get("Retry-After"), "1.5 s, rounded up")
	assert.Empty(t, resp.Header.Get("X-Come-Back-Ms"))
	resp, _, err = post(t, t.Context(), url, "odd", "x")
	require.NoError(t, err)
	assert.Equal(t, 400, resp.StatusCode)
	resp, _, err = post(t, t.Context(), url, "0000000000000002", strings.Repeat("x", maxBody+1))
	require.NoError(t, err)
	assert.Equal(t, 413, resp.StatusCode)
	resp, err = http.Get(url + "/call/x/trigger")
	require.NoError(t, err)
	assert.Equal(t, 405, resp.StatusCode)
	assert.Equal(t, int64(3), front.Bad())
	end()
	require.NoError(t, <-done)
}

// Guards what was taken over a planned end: calls that come while clients have not heard are served, each taken
// call is answered, and only then does the server end.
func TestEndAnswersAllTaken(t *testing.T) {
	came, goOn := make(chan bool, 2), make(chan bool)
	lines := make(notify, 8)
	url, end, done, _ := serve(t, 3*time.Second, lines, func(w http.ResponseWriter, r *http.Request) { came <- true; <-goOn })
	got := make(chan int, 2)
	call := func(id string) {
		resp, _, err := post(t, t.Context(), url, id, "x")
		if assert.NoError(t, err) {
			got <- resp.StatusCode
		}
	}
	go call("0000000000000001")
	<-came
	end()
	assert.Contains(t, <-lines, "ending: still taking calls")
	go call("0000000000000002")
	<-came
	select {
	case err := <-done:
		t.Fatal("ended with calls open", err)
	default:
	}
	close(goOn)
	assert.Equal(t, []int{200, 200}, []int{<-got, <-got})
	require.NoError(t, <-done)
}

// Guards against work for clients that left: the executor sees its connection closed.
func TestClientLeaves(t *testing.T) {
	came, left := make(chan bool, 1), make(chan bool, 1)
	url, end, done, _ := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		came <- true
		<-r.Context().Done()
		left <- true
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-came; leave() }()
	_, _, err := post(t, ctx, url, "0000000000000001", "x")
	require.ErrorIs(t, err, context.Canceled)
	<-left
	end()
	require.NoError(t, <-done)
}

// Guards out of service: readiness says no while the gate is shut, an idle kept connection is closed, an answer in
// hand still comes whole and ends its connection, and counts go by class; back in service, it says yes again.
func TestOutOfService(t *testing.T) {
	url, end, done, front := serve(t, time.Millisecond, make(notify, 8), func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	var out atomic.Bool
	front.Gate = func() bool { return !out.Load() }
	host := strings.TrimPrefix(url, "http://")
	idle, err := net.Dial("tcp", host)
	require.NoError(t, err)
	defer idle.Close()
	_, err = idle.Write([]byte("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	rd := bufio.NewReader(idle)
	resp, err := http.ReadResponse(rd, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	require.Equal(t, 200, resp.StatusCode)

	ping := func() int {
		resp, err := http.Get(url + "/ping")
		require.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	out.Store(true)
	front.SetKeepAlives(false)
	assert.Equal(t, 503, ping())
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = rd.ReadByte()
	assert.Error(t, err, "the idle connection is closed")
	resp, body, err := post(t, t.Context(), url, "0000000000000001", "kept")
	require.NoError(t, err)
	assert.Equal(t, "200 kept", fmt.Sprint(resp.StatusCode, " ", body))
	assert.True(t, resp.Close, "the connection ends after its answer")

	out.Store(false)
	front.SetKeepAlives(true)
	assert.Equal(t, 200, ping())
	counts := map[string]int64{}
	front.Tally(func(class string, o *Outcomes) { counts[class] = o.Completed.Load() })
	assert.Equal(t, map[string]int64{"path-book": 1}, counts)
	assert.Zero(t, front.Pending())
	end()
	require.NoError(t, <-done)
}
