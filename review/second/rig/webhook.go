package rig

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Secret is the signing secret of the operator, as bytes.
var Secret = bytes.Repeat([]byte{7}, 24)

// SecretLine returns the secret as a line of a keys file.
func SecretLine() string { return "whsec_" + base64.StdEncoding.EncodeToString(Secret) + "\n" }

// SendMessage sends one signed webhook message that asks for a call and returns the status and the
// body of the answer.
func SendMessage(addr, id, class, function, body string) (status int, answer string, err error) {
	text := fmt.Sprintf(`{"type":"%s.requested","data":{"function":%q,"body":%q,"memory_mb":3000,"lanes":4,`+
		`"load_ms":1200}}`, class, function, base64.StdEncoding.EncodeToString([]byte(body)))
	stamp := strconv.FormatInt(time.Now().Unix(), 10)
	mac := hmac.New(sha256.New, Secret)
	fmt.Fprintf(mac, "%s.%s.%s", id, stamp, text)
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", bytes.NewReader([]byte(text)))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Webhook-Id", id)
	request.Header.Set("Webhook-Timestamp", stamp)
	request.Header.Set("Webhook-Signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
	client := http.Client{Timeout: 15 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// Notice is a notification that an operator's system received.
type Notice struct {
	CallID  string `json:"call_id"`
	Class   string `json:"class"`
	Outcome string `json:"outcome"`
}

// NoticeReceiver is an operator's system that receives notifications and accepts each.
type NoticeReceiver struct {
	URL    string
	record *Record
	server *http.Server

	mu      sync.Mutex
	notices map[string]Notice // by call id
}

// NewNoticeReceiver starts a receiver.
func NewNoticeReceiver(record *Record) (*NoticeReceiver, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("receiver: %w", err)
	}
	n := &NoticeReceiver{
		URL: "http://" + listener.Addr().String() + "/notices", record: record, notices: map[string]Notice{},
	}
	n.server = &http.Server{Handler: n}
	go func() { _ = n.server.Serve(listener) }() // ends with Close
	return n, nil
}

// ServeHTTP accepts a notification.
func (n *NoticeReceiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var message struct {
		Data Notice `json:"data"`
	}
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	n.notices[message.Data.CallID] = message.Data
	n.mu.Unlock()
	n.record.Logf("operator: notice of %s: %s %s", message.Data.CallID, message.Data.Class, message.Data.Outcome)
}

// Notices returns the notifications received so far, by call id.
func (n *NoticeReceiver) Notices() map[string]Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	copied := map[string]Notice{}
	for id, notice := range n.notices {
		copied[id] = notice
	}
	return copied
}

// Close ends the receiver.
func (n *NoticeReceiver) Close() { _ = n.server.Close() }
