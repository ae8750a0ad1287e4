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

// failingListener is a listener whose second Accept fails with an error.
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

// transientAcceptErrors are the transient errors of accept(2): errors of the connection that was to
// be accepted, errors of its network, and a lack of resources that may be freed later.
var transientAcceptErrors = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENONET,
	syscall.ETIMEDOUT, syscall.ECONNRESET,
}

// The server continues to accept connections after a transient error of accept.
func TestTransientAcceptErrorsAreRetried(t *testing.T) {
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			listener := func(ln *net.TCPListener) net.Listener {
				return &failingListener{TCPListener: ln, err: errno}
			}
			s := newTestbed(t, testbedOptions{listener: listener}, newRecordingExecutor(t, nil))
			for i := range 3 {
				assert.Equal(t, http.StatusOK, s.call(fmt.Sprintf("%016x", i+1), "path-check"))
			}
			s.close()
		})
	}
}

// callOnce sends one call on a connection of its own and reports whether a complete response
// arrived.
func callOnce(addr, id string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, callText(id, "path-check", "x")); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Every request gets a response while the number of concurrent clients reaches and exceeds the
// limit on connections, with a new connection for each request.
func TestFullServerAnswersEveryRequest(t *testing.T) {
	const (
		requests    = 2000
		serviceTime = 5 * time.Millisecond
	)
	serve := func(http.ResponseWriter, *http.Request) { time.Sleep(serviceTime) }
	for _, clients := range []int{40, 64, 200} {
		t.Run(strconv.Itoa(clients), func(t *testing.T) {
			s := newTestbed(t, testbedOptions{}, newRecordingExecutor(t, serve))
			go func() {
				for range s.completions { // discards them, as nothing else reads the channel
				}
			}()
			var next, unanswered atomic.Int64
			var callers sync.WaitGroup
			for range clients {
				callers.Go(func() {
					for i := next.Add(1); i <= requests; i = next.Add(1) {
						if !callOnce(s.addr, fmt.Sprintf("%016x", i)) {
							unanswered.Add(1)
						}
					}
				})
			}
			callers.Wait()
			assert.Zero(t, unanswered.Load(), "of %d requests", requests)
			s.close()
			s.core.Close()
			close(s.completions)
		})
	}
}
