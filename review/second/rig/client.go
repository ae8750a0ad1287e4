package rig

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Call is one request of a client by the platform's protocol.
type Call struct {
	Class, Customer, Function, Body, Key string
	Patience                             time.Duration
}

// Answer is what a client got. Lost says that the last byte of the request was written and the
// connection ended with no whole answer.
type Answer struct {
	ID     string
	Status int
	Body   string
	Err    error
	Lost   bool
}

// NewID returns 16 hex digits.
func NewID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Dial opens a client's connection.
func Dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) }

// Send sends one call on an open connection and reads its answer. The client waits for its patience
// and 0.7 s more.
func Send(record *Record, conn net.Conn, call Call) Answer {
	answer := Answer{ID: NewID()}
	var head strings.Builder
	fmt.Fprintf(&head, "POST /call/%s/trigger HTTP/1.1\r\nHost: origin.svc\r\nX-Class: %s\r\nX-Call-Id: %s\r\n"+
		"X-Patience-Ms: %d\r\nX-Extras: memory_mb:3000;lanes:4;load_ms:1200\r\nContent-Length: %d\r\n",
		call.Function, call.Class, answer.ID, call.Patience.Milliseconds(), len(call.Body))
	if call.Customer != "" {
		fmt.Fprintf(&head, "X-Customer: %s\r\n", call.Customer)
	}
	if call.Key != "" {
		fmt.Fprintf(&head, "X-Dedupe-Key: %s\r\n", call.Key)
	}
	_ = conn.SetDeadline(time.Now().Add(call.Patience + 700*time.Millisecond))
	record.Logf("client: sends %s %s body=%q from %s", call.Class, answer.ID, call.Body, conn.LocalAddr())
	if _, answer.Err = io.WriteString(conn, head.String()+"\r\n"+call.Body); answer.Err == nil {
		answer.read(conn)
	}
	record.Logf("client: %s answered: status=%d body=%q error=%v lost=%t", answer.ID, answer.Status, answer.Body,
		answer.Err, answer.Lost)
	return answer
}

// read reads the answer of a request that was written whole.
func (a *Answer) read(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.Err, a.Lost = err, true
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.Status, a.Body, a.Err, a.Lost = response.StatusCode, string(body), err, err != nil
}

// SendNew sends one call on a connection of its own.
func SendNew(record *Record, addr string, call Call) Answer {
	conn, err := Dial(addr)
	if err != nil {
		record.Logf("client: cannot connect: %v", err)
		return Answer{Err: err}
	}
	defer conn.Close()
	return Send(record, conn, call)
}

// Operate makes a POST call of a console, such as out-of-service, and returns an error unless the
// answer is yes.
func (t *Tier) Operate(console, call string) error {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+console+"/control/"+call, "", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	t.Record.Logf("operator: %s at %s answered: %d", call, console, response.StatusCode)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("console: %s: %s", call, response.Status)
	}
	return nil
}
