package stage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Call is one request of a client and its answer.
type Call struct {
	ID, Class string
	Sent, End time.Time
	Status    int    // 0: no whole answer came
	Problem   string // why none came
}

// Clients sends calls to a dispatcher at a steady rate. Half of the calls go over connections that
// are kept, half over new ones.
type Clients struct {
	Keyed string // class whose calls carry an idempotency key; empty: none

	stage *Stage
	addr  string
	kept  *http.Client
	fresh *http.Client

	mu    sync.Mutex
	calls []*Call
	sent  int
	wait  sync.WaitGroup
}

// NewClients returns the clients of a dispatcher.
func (s *Stage) NewClients(addr string) *Clients {
	return &Clients{
		stage: s, addr: addr,
		kept:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Send sends calls of the given classes in turn, rate a second, for a time.
func (c *Clients) Send(classes []string, rate int, span time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.After(span); ; {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		c.sent++
		client := c.kept
		if c.sent%2 == 0 {
			client = c.fresh
		}
		c.start(client, classes[c.sent%len(classes)], Tenants[c.sent/2%len(Tenants)])
	}
}

// start sends one call without waiting for its answer.
func (c *Clients) start(client *http.Client, class, tenant string) {
	var id [8]byte
	_, _ = rand.Read(id[:])
	call := &Call{ID: hex.EncodeToString(id[:]), Class: class, Sent: time.Now()}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	function := fmt.Sprintf("%016x", 0x7f3a0000+len(c.calls)%8)
	c.mu.Unlock()
	c.wait.Go(func() {
		status, err := c.exchange(client, call, function, tenant)
		c.mu.Lock()
		defer c.mu.Unlock()
		call.Status, call.End = status, time.Now()
		if err != nil {
			call.Status, call.Problem = 0, err.Error()
		}
	})
}

// exchange sends a call and reads its answer.
func (c *Clients) exchange(client *http.Client, call *Call, function, tenant string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.addr+"/call/"+function+"/trigger",
		strings.NewReader("from north to south"))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Class", call.Class)
	request.Header.Set("X-Call-Id", call.ID)
	request.Header.Set("X-Patience-Ms", "4000")
	request.Header.Set("X-Customer", tenant)
	if call.Class == c.Keyed {
		request.Header.Set("X-Dedupe-Key", call.ID+call.ID)
	}
	request.Header.Set("X-Extras", "memory_mb:512;lanes:4;load_ms:640")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode == http.StatusOK && string(body) != "ran "+call.ID {
		return 0, errors.New("a body that no worker made for this call")
	}
	return response.StatusCode, nil
}

// Wait waits until all calls have ended and returns them.
func (c *Clients) Wait() []*Call {
	c.wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		c.stage.Note("call %s %s sent %.3f answered %d in %d ms %s", call.ID, call.Class,
			c.stage.Since(call.Sent), call.Status, call.End.Sub(call.Sent).Milliseconds(), call.Problem)
	}
	return c.calls
}
