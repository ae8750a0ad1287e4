package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread"
	"oakthread/balancer"
	"oakthread/internal/wire"
)

// The tests in this file compare what is written on the platform's sockets, and what is read there, with files in
// testdata. The files are written with -update alone, and then only where the protocol is meant to change.

var update = flag.Bool("update", false, "write the golden files in testdata anew")

// masks replace what depends on the clock or on ports. The form of a value is checked by its pattern.
var masks = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`(?m)^Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT\r$`), "Date: <date>\r"},
	{regexp.MustCompile(`(?m)^Host: 127\.0\.0\.1:\d+\r$`), "Host: <host:port>\r"},
	{regexp.MustCompile(`(?m)^X-Budget: [1-9]\d*\r$`), "X-Budget: <ms>\r"},
}

// matchGolden compares raw bytes, once masked, with testdata/name.golden.
func matchGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	for _, m := range masks {
		got = m.pattern.ReplaceAll(got, []byte(m.with))
	}
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), path)
}

// readRaw returns the bytes of one answer, and of whatever came with it.
func readRaw(t *testing.T, c net.Conn, method string) []byte {
	t.Helper()
	var raw bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), &http.Request{Method: method})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return raw.Bytes()
}

func TestClientAnswersMatchGoldenFiles(t *testing.T) {
	const refused, failed, held = "00000000000000f1", "00000000000000f2", "00000000000000f3"
	const head, ping = "POST /call/7f3a9c21e0b4d655/trigger", "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"
	const length, chunks = "Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for _, c := range []struct {
		name   string
		id     string // of a call of path-book; "": request is sent as it is
		from   string // replaced in the call
		to     string
		change func(*wire.Setup)
	}{
		{name: "served", id: first},
		{name: "served-chunked-request", id: first, from: length, to: chunks},
		{name: "served-closing", id: first, from: "Host: x", to: "Host: x\r\nConnection: close"},
		{name: "refused-with-wait", id: refused},
		{name: "refused-with-wait-in-milliseconds", id: refused,
			change: func(s *wire.Setup) { s.Permissions.RetryAfter = true }},
		{name: "refused-without-wait", id: refused, change: func(s *wire.Setup) {
			s.Permissions.RetryAfter, s.Permissions.MaxRetryAfter = true, 0
		}},
		{name: "failed", id: failed},
		{name: "timed-out", id: held, from: "Patience-Ms: 4000", to: "Patience-Ms: 500"},
		{name: "duplicate-id", id: held},
		{name: "bad-function", id: first, from: "7f3a9c21e0b4d655", to: "odd"},
		{name: "bad-id", id: "odd"},
		{name: "bad-class", id: first, from: "path-book", to: "odd"},
		{name: "bad-customer", id: first, from: "Host: x", to: "Host: x\r\nX-Customer: odd"},
		{name: "bad-patience", id: first, from: "4000", to: "-1"},
		{name: "bad-extras", id: first, from: "Host: x", to: "Host: x\r\nX-Extras: lanes:two"},
		{name: "bad-extras-range", id: first, from: "Host: x", to: "Host: x\r\nX-Extras: lanes:0"},
		{name: "bad-header-twice", id: first, from: "Host: x", to: "Host: x\r\nX-Repeat: 1\r\nX-Repeat: 1"},
		{name: "bad-two-lengths", id: first, from: length, to: "Content-Length: 1\r\n" + chunks},
		{name: "bad-request-line", id: first, from: head, to: "POST"},
		{name: "body-too-long", id: first, from: length,
			to: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBody+1, strings.Repeat("x", maxBody+1))},
		{name: "unknown-path", id: first, from: "/trigger", to: "/odd"},
		{name: "wrong-method", id: first, from: "POST", to: "PUT"},
		{name: "ping-ready", to: ping},
		{name: "ping-not-ready", to: ping},
		{name: "ping-head", to: strings.Replace(ping, "GET", "HEAD", 1)},
		{name: "ping-wrong-method", to: strings.Replace(ping, "GET", "DELETE", 1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			came, goOn := make(chan bool, 1), make(chan bool)
			s := newStage(t, c.change, nil, newBox(t, func(w http.ResponseWriter, r *http.Request) {
				switch r.Header.Get("X-Hop-Id") {
				case refused:
					w.Header().Set("X-No-Effect", "1")
					w.WriteHeader(http.StatusGatewayTimeout)
				case failed:
					w.WriteHeader(http.StatusInternalServerError)
				case held:
					came <- true
					select {
					case <-goOn:
					case <-r.Context().Done():
					}
				}
				_, _ = io.WriteString(w, "a\x00b\r\n\xff")
			}))
			if c.name == "ping-not-ready" {
				s.front.Gate = func() bool { return false }
			}
			request := c.to
			if c.id != "" {
				request = strings.Replace(text(c.id, "path-book", "x"), c.from, c.to, 1)
			}
			conn := s.dial()
			if c.name == "duplicate-id" {
				before := s.send(c.id, "path-book")
				<-came
				s.write(conn, request)
				matchGolden(t, "answer-"+c.name, readRaw(t, conn, "POST"))
				close(goOn)
				assert.Equal(t, http.StatusOK, s.read(before))
			} else {
				s.write(conn, request)
				method, _, _ := strings.Cut(request, " ")
				matchGolden(t, "answer-"+c.name, readRaw(t, conn, method))
			}
			s.over()
		})
	}
}

// recorder is an executor on a plain socket. It hands on the raw bytes of each request up to its end, and then writes
// the next of the answers; the last of them again and again.
func recorder(t *testing.T, answers ...string) (*box, <-chan []byte) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	requests, next := make(chan []byte, 16), make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	serve := func(c net.Conn) {
		defer c.Close()
		var raw bytes.Buffer
		for rd := bufio.NewReader(io.TeeReader(c, &raw)); ; raw.Reset() {
			r, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests <- bytes.Clone(raw.Bytes())
			answer := answers[len(answers)-1]
			select {
			case answer = <-next:
			default:
			}
			if _, err := io.WriteString(c, answer); err != nil || !strings.Contains(answer, "Length") {
				return
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return &box{Server: &httptest.Server{Listener: ln}}, requests
}

const plainOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// TestAttemptsMatchGoldenFiles follows calls from a client's socket to the executor's.
func TestAttemptsMatchGoldenFiles(t *testing.T) {
	addKeyed := func(s *wire.Setup) {
		k := s.Categories[0]
		k.Name, k.Idempotency, k.KeyScope = "path pay/1", "idempotency_key", "all"
		s.Categories = append(s.Categories, k)
		s.Specifics.LoadControl = false // attempts alone
	}
	noEffect := "HTTP/1.1 504 Gateway Timeout\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, class, body, header string
		answers                   []string
	}{
		{name: "read-like", class: "path-check", body: "a\x00b\r\n\xff"},
		{name: "non-idempotent", class: "path-book", body: "x"},
		{name: "without-body", class: "path-book"},
		{name: "keyed", class: "path pay/1", body: "x", header: "X-Dedupe-Key: 3f:a b;c"},
		{name: "keyed-without-key", class: "path pay/1", body: "x"},
		{name: "repeat", class: "path pay/1", body: "x", header: "X-Dedupe-Key: k1\r\nX-Repeat: 1"},
		{name: "all-headers", class: "path-book", body: "x",
			header: "X-Customer: ironbridge-haul\r\nX-Extras: memory_mb:512;lanes:2;load_ms:640\r\nX-Other: 1"},
		{name: "second", class: "path-check", body: "x", answers: []string{noEffect, plainOK}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, requests := recorder(t, append(c.answers, plainOK)...)
			s := newStage(t, addKeyed, nil, b)
			conn := s.dial()
			request := text("9b1f03aa5c7e2d41", c.class, c.body)
			if c.header != "" {
				request = strings.Replace(request, "Host: x", "Host: x\r\n"+c.header, 1)
			}
			s.write(conn, strings.Replace(request, "7f3a", "7F3a", 1)) // the function's case is kept
			assert.Equal(t, http.StatusOK, s.read(conn))
			if len(c.answers) > 0 {
				matchGolden(t, "attempt-"+c.name+"-before", <-requests)
			}
			matchGolden(t, "attempt-"+c.name, <-requests)
			assert.Empty(t, requests, "more was written")
			s.over()
		})
	}
}

func TestOrdersAndProbesMatchGoldenFiles(t *testing.T) {
	for name, do := range map[string]func(context.Context, *ExecutorPool, oakthread.LoadOrder){
		"load":  func(ctx context.Context, f *ExecutorPool, o oakthread.LoadOrder) { f.Load(ctx, o) },
		"drop":  func(ctx context.Context, f *ExecutorPool, o oakthread.LoadOrder) { f.Unload(ctx, o) },
		"probe": func(ctx context.Context, f *ExecutorPool, o oakthread.LoadOrder) { f.HealthCheck(ctx, o.Worker) },
	} {
		t.Run(name, func(t *testing.T) {
			b, requests := recorder(t, plainOK)
			f := NewFleet(setup(t), 10)
			defer f.Close()
			do(t.Context(), f, oakthread.LoadOrder{Worker: member(b.addr()), Key: "7F3a9c21e0b4d655", Count: 2})
			matchGolden(t, name, <-requests)
		})
	}
}

func TestExecutorAnswersAreRead(t *testing.T) {
	const send, load, probe = "send", "load", "probe"
	type reply = oakthread.Reply
	report, none, body := []float64{7, 0.61}, []byte{}, []byte("a\x00\r\n")
	for _, c := range []struct {
		by, status, headers, body string
		want                      reply
	}{
		{send, "200 OK", "X-Tell: hit\r\nX-Same: 3\r\nX-Report: queue:7;util:0.61", "a\x00\r\n",
			reply{Result: balancer.OK, Warmth: balancer.WarmHit, ConcurrentRequests: 3, Report: report, Body: body}},
		{send, "200 OK", "X-Tell: spawn\r\nX-Report: cpu:0.61;waiting:7;active:2", "",
			reply{Result: balancer.OK, Warmth: balancer.BeganLoad, Report: report, Body: none}},
		{send, "200 OK", "X-Tell: pending\r\nX-Report: queue:7", "",
			reply{Result: balancer.OK, Warmth: balancer.AwaitedLoad, Body: none}},
		{send, "200 OK", "X-Same: 99\r\nX-N: 2\r\nX-Tell: odd", "",
			reply{Result: balancer.OK, ConcurrentRequests: 30, Copies: 2, Body: none}},
		{send, "200 OK", "X-No-Effect: 1", "", reply{Result: balancer.OK, Body: none}},
		{send, "404 Not Found", "X-Report: queue:7;util:0.61", "gone", reply{Result: balancer.NotLoaded, Report: report}},
		{send, "404 Not Found", "X-Tell: spawn_failed", "", reply{Result: balancer.NotLoaded, Warmth: balancer.LoadFailed}},
		{send, "503 Full", "X-No-Effect: 1\r\nX-Same: 4", "", reply{Result: balancer.QueueFull, ConcurrentRequests: 4}},
		{send, "503 Full", "", "", reply{Result: balancer.Error}},
		{send, "504 Late", "X-No-Effect: 1", "", reply{Result: balancer.NotSent}},
		{send, "504 Late", "X-No-Effect: true", "", reply{Result: balancer.Error}},
		{send, "500 Broken", "X-Tell: spawn_failed", "", reply{Result: balancer.Error, Warmth: balancer.LoadFailed}},
		{send, "429 Many", "X-No-Effect: 1", "", reply{Result: balancer.Error}},
		{send, "201 Created", "", "x", reply{Result: balancer.Error}},
		{load, "200 OK", "X-N: 2\r\nX-Tell: spawn", "x",
			reply{Result: balancer.OK, Warmth: balancer.BeganLoad, Copies: 2}},
		{load, "200 OK", "X-N: 0", "", reply{Result: balancer.OK}},
		{load, "500 Broken", "X-Tell: spawn_failed", "", reply{Result: balancer.Error, Warmth: balancer.LoadFailed}},
		{load, "503 Full", "X-No-Effect: 1\r\nX-N: 1", "", reply{Result: balancer.QueueFull, Copies: 1}},
		{probe, "200 OK", "X-Report: queue:7;util:0.61", "x", reply{Result: balancer.OK, Report: report}},
		{probe, "503 Drains", "X-No-Effect: 1", "", reply{Result: balancer.Error, Draining: true}},
		{probe, "404 Not Found", "", "", reply{Result: balancer.Error}},
	} {
		t.Run(c.by+" "+c.status+" "+c.headers, func(t *testing.T) {
			length := fmt.Sprintf("Content-Length: %d", len(c.body))
			if c.headers != "" {
				length += "\r\n" + c.headers
			}
			b, _ := recorder(t, "HTTP/1.1 "+c.status+"\r\n"+length+"\r\n\r\n"+c.body)
			f := NewFleet(setup(t), 10)
			defer f.Close()
			m, got := member(b.addr()), reply{}
			switch c.by {
			case send:
				a := attempt(m, "x")
				a.Deadline = time.Now().Add(10 * time.Second)
				got = f.Send(t.Context(), a)
			case load:
				got = f.Load(t.Context(), oakthread.LoadOrder{Worker: m, Key: "7F3a9c21e0b4d655", Count: 2})
			case probe:
				got = f.HealthCheck(t.Context(), m)
			}
			assert.Equal(t, c.want, got)
		})
	}
}

func TestChannelRequestMatchesGoldenFile(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	asked := make(chan []byte, 1)
	go func() {
		defer close(asked)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		var raw bytes.Buffer
		rd := bufio.NewReader(io.TeeReader(c, &raw))
		_, _ = rd.ReadString('\n')
		_, _ = io.WriteString(c, "41\n")
		_, _ = io.Copy(io.Discard, rd) // whatever else is asked, up to the end
		asked <- raw.Bytes()
	}()
	ctx, stop := context.WithCancel(t.Context())
	told, done := make(feed, 8), make(chan error, 1)
	c := NewChannel(&Config{Channel: ln.Addr().String(), Cursor: 41, Setup: setup(t)}, quiet)
	go func() { done <- c.Follow(ctx, told) }()
	assert.Equal(t, "current", <-told)
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	matchGolden(t, "channel-request", <-asked)
}

func TestEventLinesAreRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/events.txt")
	require.NoError(t, err)
	of := func(k balancer.EndpointUpdateKind, ms ...oakthread.Endpoint) oakthread.EndpointUpdate {
		return oakthread.EndpointUpdate{Kind: k, Endpoints: ms}
	}
	want := []struct {
		event Event
		odd   string
		bad   string
	}{
		{event: Event{Cursor: 41, Beat: true}},
		{event: Event{Cursor: 42, Epoch: "e7", Told: true, Roster: of(balancer.EndpointsSnapshot,
			oakthread.Endpoint{ID: 0xc41f7a, Addr: "127.0.0.1:4001", Zone: 1, Cell: 2, State: balancer.Active, Weight: 4,
				Start: time.UnixMilli(1500)},
			oakthread.Endpoint{ID: WorkerID("box nine"), Addr: "[::1]:4002", Zone: 2, Kind: 1, Cell: 3,
				State: balancer.Draining, Weight: 0.5})}},
		{event: Event{Cursor: 43, Told: true, Roster: of(balancer.EndpointsDelta, oakthread.Endpoint{ID: 0xc41f7a,
			Zone: 2, Kind: 1, State: balancer.Removed})}},
		{event: Event{Cursor: 44, Told: true, Roster: of(balancer.EndpointsDelta, oakthread.Endpoint{ID: 2,
			Addr: "127.0.0.1:4003", Zone: 2, Kind: 1, State: balancer.Draining, Weight: 1})},
			odd: `members[0]: phase "Cordoned" of "s-00000002" is not known`},
		{event: Event{Cursor: 45, Told: true, Roster: of(balancer.EndpointsDelta)},
			odd: "members[0]: field id is missing\n" +
				`members[1]: host_port "nowhere" of "s-00000003": not an ip:port`},
		{event: Event{Cursor: 46, Roster: of(balancer.EndpointsDelta)}},
		{event: Event{Cursor: 47, Epoch: "e8", Roster: of(balancer.EndpointsDelta)}},
		{bad: "field cursor is missing"}, {bad: "field cursor is missing"}, {bad: "cannot unmarshal number"},
		{bad: "invalid character"},
	}
	lines := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	require.Len(t, lines, len(want))
	for i, w := range want {
		got, err := parseEvent([]byte(lines[i]), setup(t))
		if w.bad != "" {
			assert.ErrorContains(t, err, w.bad, lines[i])
			continue
		}
		require.NoError(t, err, lines[i])
		if err := errors.Join(got.Odd...); err != nil || w.odd != "" {
			assert.EqualError(t, err, w.odd, lines[i])
		}
		got.Odd = nil
		assert.Equal(t, w.event, got, lines[i])
	}
	assert.Equal(t, balancer.WorkerID(0xf4092e46), WorkerID("box nine"), "the hash of an id that holds no number")
}

func TestConfigurationFileIsReadWhole(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	s := &wire.Setup{Kinds: []string{"std-2core", "std-4core"}, Number: 1, OverShareWorth: 0.2, Quantum: 501,
		RegistryMode: "on_request", Siblings: 7, Zone: 9, Zones: []string{"north-room", "south-room"}}
	s.Categories = slices.Grow(s.Categories, 1)[:1]
	k := &s.Categories[0]
	k.Name, k.Idempotency, k.KeyScope = "path-check", "read_like", "zone"
	k.Aim, k.Credit, k.GiveUp, k.LateWorth, k.Window = 101, 1.02, 103, 1.04, 105
	s.Customers = slices.Grow(s.Customers, 1)[:1]
	s.Customers[0].Name, s.Customers[0].Allowance = "ironbridge-haul", 25.5
	s.Feedback.Fields, s.Feedback.How = []string{"waiting", "cpu"}, "inline"
	p, q, r, f := &s.Permissions, &s.Prices, &s.Rules, &s.Specifics
	p.Cancel, p.MayProbe, p.Peers, p.RetryAfter, p.SecondCopies = true, true, true, true, true
	p.ConnIdle, p.ConnectTimeout, p.MaxRetryAfter, p.OpenCap, p.SendCap = 301, 302, 303, 304, 305
	q.CrossZone, q.LateFail, q.Origin, q.Peer, q.Probe, q.Waste = 4.01, 4.02, 4.03, 4.04, 4.05, 4.06
	r.AnswerSlack, r.AskWithin, r.Cold, r.DrainGrace, r.Fall = 601, 602, 603, 604, 605
	r.OverloadFactor, r.StartCapacity = 6.06, 6.07
	f.FreeLoads, f.IdleMemory, f.KindMemory, f.LingerIdle = 8.01, 8.02, []float64{803, 804}, 805
	f.LoadPart, f.LoadSpan, f.OnMiss, f.OrderLimit = 8.06, 807, "miss", 808
	f.LoadControl, f.NotesPeers, f.WarmNotes = true, true, true
	want := &Config{Name: "router-3", Listen: "127.0.0.1:7001", Seed: 0x8c1f30d27a5be964, Cores: 1.5, Memory: 96 << 20,
		Sockets: 300, PeerListen: "127.0.0.1:7002", PeersAll: netip.MustParseAddrPort("239.1.2.3:7004"),
		Peers:   []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7002"), netip.MustParseAddrPort("[::1]:7003")},
		Channel: "127.0.0.1:7005", Console: "127.0.0.1:7006", Cursor: 5, Setup: s,
		Known: []Event{{Cursor: 5, Epoch: "e7", Told: true, Roster: oakthread.EndpointUpdate{Kind: balancer.EndpointsSnapshot,
			Endpoints: []oakthread.Endpoint{{ID: 0xc41f7a, Addr: "127.0.0.1:4001", Zone: 1, Kind: 1, Cell: 2,
				State: balancer.Active, Weight: 4, Start: time.UnixMilli(1500)}}}}}}
	got, err := parseConfig(raw)
	require.NoError(t, err)
	matchGolden(t, "config-shape", []byte(strings.Join(got.shape, "\n")+"\n"))
	want.shape = got.shape
	require.Equal(t, want, got)
	for key, value := range map[string]*bool{"cancel": &p.Cancel, "may_probe": &p.MayProbe, "peers": &p.Peers,
		"retry_after": &p.RetryAfter, "second_copies": &p.SecondCopies, "load_control": &f.LoadControl,
		"notes_peers_in_hand": &f.NotesPeers, "warm_notes": &f.WarmNotes} { // each alone: all of them are true above
		got, err := parseConfig(bytes.Replace(raw, []byte(`"`+key+`": true`), []byte(`"`+key+`": false`), 1))
		require.NoError(t, err)
		*value = false
		assert.Equal(t, want, got, key)
		*value = true
	}
}

// TestConfigurationFileHoldsEveryKey compares the file's keys with those that the program knows: of the settings by
// their type, of the rest by the tags in this package's source.
func TestConfigurationFileHoldsEveryKey(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	var file map[string]any
	require.NoError(t, json.Unmarshal(raw, &file))
	settings := slices.Collect(maps.Keys(keysOf(file["settings"], "")))
	assert.ElementsMatch(t, keysOfType(reflect.TypeFor[wire.Setup](), ""), settings)
	delete(file, "settings")
	held, known := map[string]bool{"settings": true}, map[string]bool{}
	for path := range keysOf(file, "") {
		held[path[strings.LastIndex(path, ".")+1:]] = true
	}
	sources, err := filepath.Glob("*.go")
	require.NoError(t, err)
	tag := regexp.MustCompile("`json:\"([^\",]+)")
	for _, name := range sources {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		for _, m := range tag.FindAllSubmatch(text, -1) {
			if !strings.HasSuffix(name, "_test.go") {
				known[string(m[1])] = true
			}
		}
	}
	assert.Equal(t, known, held)
}

func keysOf(v any, path string) map[string]bool {
	keys := map[string]bool{}
	switch v := v.(type) {
	case map[string]any:
		for k, inner := range v {
			keys[path+"."+k] = true
			maps.Copy(keys, keysOf(inner, path+"."+k))
		}
	case []any:
		for _, inner := range v {
			maps.Copy(keys, keysOf(inner, path))
		}
	}
	return keys
}

func keysOfType(typ reflect.Type, path string) (keys []string) {
	if typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return nil
	}
	for field := range typ.Fields() {
		key := path + "." + field.Tag.Get("json")
		keys = append(append(keys, key), keysOfType(field.Type, key)...)
	}
	return keys
}

func TestDatagramsMatchGoldenFile(t *testing.T) {
	const data = "w1 \x00\xff\n"
	stand := func() (*net.UDPConn, netip.AddrPort) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	one, oneAddr := stand()
	two, twoAddr := stand()
	group, groupAddr := stand()
	stranger, _ := stand()
	var raw strings.Builder
	read := func(what string, c *net.UDPConn) {
		buf := make([]byte, 1<<10)
		n, _, err := c.ReadFromUDPAddrPort(buf)
		require.NoError(t, err, what)
		fmt.Fprintf(&raw, "%s: %q\n", what, buf[:n])
	}
	open := func(all netip.AddrPort) (*PeerTransport, chan string) {
		p, err := ListenPeers(&Config{PeerListen: "127.0.0.1:0", PeersAll: all, Setup: setup(t),
			Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:9"), oneAddr, twoAddr}}, quiet)
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		heard, done := make(chan string, 8), make(chan error, 1)
		go func() {
			done <- p.Listen(ctx, func(from int, data string) { heard <- fmt.Sprintf("from %d: %q", from, data) })
		}()
		t.Cleanup(func() { stop(); <-done })
		return p, heard
	}
	p, heard := open(netip.AddrPort{})
	p.SendMessage(1, data+"one")
	p.SendMessage(-1, data+"all")
	read("to peer 1", one)
	read("to all, at peer 1", one)
	read("to all, at peer 2", two)
	for _, c := range []*net.UDPConn{stranger, two} {
		_, err := c.WriteToUDP([]byte(data), p.conn.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
	}
	fmt.Fprintln(&raw, "read", <-heard)
	strangers, _ := p.Dropped()
	assert.Equal(t, int64(1), strangers)
	q, _ := open(groupAddr)
	q.SendMessage(-1, data+"all")
	q.SendMessage(2, data+"two")
	read("to all, at the group", group)
	read("to peer 2", two)
	matchGolden(t, "datagrams", []byte(raw.String()))
}
