package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// This file holds the reproductions of the faults that were found before the hunt of issue 38.

// failingListener fails its second accept with an error, once.
type failingListener struct {
	*net.TCPListener
	err      error
	accepted atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepted.Add(1) == 2 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.TCPListener.Accept()
}

// transientAcceptErrors are the errors of accept(2) that pass: of the connection that was to come, of the network below it,
// or for want of something that others may give back.
var transientAcceptErrors = []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN,
	syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET, syscall.ETIMEDOUT, syscall.ECONNRESET}

// An accept that fails for a moment ends nothing: the front goes on with the next connection.
func TestAcceptErrorsEndNothing(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := newStage(t, nil, func(in *net.TCPListener) net.Listener {
				return &failingListener{TCPListener: in, err: errno}
			}, newBox(t, nil))
			for i := range 3 {
				assert.Equal(t, http.StatusOK, s.ask(fmt.Sprintf("%016x", i+1), "path-check"))
			}
			s.over()
		})
	}
}

// askOnce sends one call on a connection of its own and tells whether a whole answer came.
func askOnce(addr, id string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := io.WriteString(c, text(id, "path-check", "x")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Every request gets an answer while more clients ask at once than the front has places, each on a new connection.
func TestFullFrontAnswersEveryRequest(t *testing.T) {
	const (
		requests = 2000
		takes    = 5 * time.Millisecond
	)
	for _, clients := range []int{40, 64, 200} {
		t.Run(strconv.Itoa(clients), func(t *testing.T) {
			s := newStage(t, nil, nil, newBox(t, func(http.ResponseWriter, *http.Request) { time.Sleep(takes) }))
			go func() {
				for range s.settled { // nobody else reads them
				}
			}()
			var next, unanswered atomic.Int64
			var wait sync.WaitGroup
			for range clients {
				wait.Go(func() {
					for i := next.Add(1); i <= requests; i = next.Add(1) {
						if !askOnce(s.addr, fmt.Sprintf("%016x", i)) {
							unanswered.Add(1)
						}
					}
				})
			}
			wait.Wait()
			assert.Zero(t, unanswered.Load(), "of %d requests", requests)
			s.over()
			s.core.Close()
			close(s.settled)
		})
	}
}

// An executor is told at most the time that the client has left when the request is written, however late its connection
// came up.
func TestBudgetIsWhatIsLeftWhenWritten(t *testing.T) {
	const (
		late  = 600 * time.Millisecond
		slack = 150 * time.Millisecond
	)
	told := make(chan time.Duration, 1)
	arrived := make(chan time.Time, 1)
	s := newStage(t, nil, nil, newBox(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- time.Now()
		ms, err := strconv.Atoi(r.Header.Get("X-Budget"))
		assert.NoError(t, err)
		told <- time.Duration(ms) * time.Millisecond
	}))
	s.holdAfter(0)
	sent := time.Now()
	c := s.send(first, "path-check") // the client waits for 4 s
	<-s.came
	<-time.After(late - time.Since(sent))
	close(s.goOn)
	require.Equal(t, http.StatusOK, s.read(c))
	left := 4*time.Second - (<-arrived).Sub(sent)
	assert.LessOrEqual(t, <-told, left+slack)
	s.over()
}
