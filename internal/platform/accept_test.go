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
)

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
var transientAcceptErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN,
	syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET, syscall.ETIMEDOUT, syscall.ECONNRESET,
}

// An accept that fails for a moment ends nothing: the front goes on with the next connection.
func TestTransientAcceptErrorsAreRetried(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t, nil, func(in *net.TCPListener) net.Listener {
				return &failingListener{TCPListener: in, err: errno}
			}, newRecordingExecutor(t, nil))
			for i := range 3 {
				assert.Equal(t, http.StatusOK, s.call(fmt.Sprintf("%016x", i+1), "path-check"))
			}
			s.close()
		})
	}
}

// callOnce sends one call on a connection of its own and tells whether a whole answer came.
func callOnce(addr, id string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := io.WriteString(c, callText(id, "path-check", "x")); err != nil {
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
func TestFullServerAnswersEveryRequest(t *testing.T) {
	const (
		requests = 2000
		takes    = 5 * time.Millisecond
	)
	for _, clients := range []int{40, 64, 200} {
		t.Run(strconv.Itoa(clients), func(t *testing.T) {
			s := newTestbed(t, nil, nil, newRecordingExecutor(t, func(http.ResponseWriter, *http.Request) { time.Sleep(takes) }))
			go func() {
				for range s.completions { // nobody else reads them
				}
			}()
			var next, unanswered atomic.Int64
			var wait sync.WaitGroup
			for range clients {
				wait.Go(func() {
					for i := next.Add(1); i <= requests; i = next.Add(1) {
						if !callOnce(s.addr, fmt.Sprintf("%016x", i)) {
							unanswered.Add(1)
						}
					}
				})
			}
			wait.Wait()
			assert.Zero(t, unanswered.Load(), "of %d requests", requests)
			s.close()
			s.core.Close()
			close(s.completions)
		})
	}
}
