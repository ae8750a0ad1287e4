package webhook

import (
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"oakthread/internal/httpreply"
	"oakthread/spiffe"
)

// storeRetryAfter is the Retry-After of a message whose receipt could not be written: a failed
// disk or a full store rarely recovers sooner.
const storeRetryAfter = time.Minute

// takeoverRetryAfter is the Retry-After of a message that came before this process had the state
// file.
const takeoverRetryAfter = 5 * time.Second

// ServeHTTP verifies and decodes a message, admits it and responds with the outcome of its
// execution.
func (rc *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "messages are POSTed", http.StatusMethodNotAllowed)
		return
	}
	body, ok := rc.readBody(w, r)
	if !ok {
		return
	}
	msg, ok := rc.authenticate(w, r, body)
	if !ok {
		return
	}
	if !rc.state.awaitState(r.Context()) {
		rc.writeRejection(w, errNoState)
		return
	}
	request, class, err := rc.decode(msg)
	if err != nil {
		rc.counters.malformed.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	exec, fromReceipt, err := rc.admit(msg, request, class)
	if err != nil {
		rc.writeRejection(w, err)
		return
	}
	select {
	case <-exec.done:
	case <-r.Context().Done():
		return // the execution continues, and its outcome will be recorded
	}
	if fromReceipt {
		w.Header().Set("Oakthread-Recorded", "1")
	}
	httpreply.Write(w, exec.answer, nil)
}

// authenticate verifies the signature of a message, and under mTLS the identity of its sender. If
// it returns false, the message has been answered.
func (rc *Receiver) authenticate(w http.ResponseWriter, r *http.Request, body []byte) (_ verifiedMessage, ok bool) {
	msg, err := rc.keys.verify(r.Header, body)
	if err != nil {
		rc.counters.unauthenticated.Add(1)
		http.Error(w, "signature is not valid", http.StatusUnauthorized)
		return msg, false
	}
	if !peerAllowed(r.TLS, msg.operator) {
		rc.counters.forbidden.Add(1)
		http.Error(w, "this identity may not use this key", http.StatusForbidden)
		return msg, false
	}
	return msg, true
}

// readBody reads the body of a message within bodyTimeout. If it returns false, the message has
// been answered or its sender has disconnected.
func (rc *Receiver) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(rc.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		rc.counters.malformed.Add(1)
		http.Error(w, "message is too long", http.StatusRequestEntityTooLarge)
		return nil, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		rc.counters.malformed.Add(1)
		w.Header().Set("Connection", "close")
		http.Error(w, "message took too long to come", http.StatusRequestTimeout)
		return nil, false
	case err != nil:
		return nil, false // the sender disconnected
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, true
}

// peerAllowed reports whether the peer of a connection may use the keys of operator. Under mTLS an
// operator with a SPIFFE ID must present that ID.
func peerAllowed(state *tls.ConnectionState, operator Operator) bool {
	if operator.id.IsZero() {
		return true
	}
	id, err := spiffe.Peer(state)
	return err == nil && id == operator.id
}

// writeRejection writes the response to a message that was not admitted.
func (rc *Receiver) writeRejection(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errReplayed):
		rc.counters.replayed.Add(1)
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errBodyMismatch):
		rc.counters.bodyMismatch.Add(1)
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errNoState):
		rc.counters.unavailable.Add(1)
		httpreply.SetRetryAfter(w.Header(), takeoverRetryAfter)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		rc.counters.unavailable.Add(1)
		if !errors.Is(err, errStoreFull) {
			rc.log.Error("webhook receipt write failed", "error", err)
		}
		httpreply.SetRetryAfter(w.Header(), storeRetryAfter)
		http.Error(w, "no receipt could be written", http.StatusServiceUnavailable)
	}
}
