package stage

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
	"strings"
	"sync"
	"time"
)

// Receiver is a stand-in for the operators' system that takes notifications.
type Receiver struct {
	Addr string

	stage *Stage
	mu    sync.Mutex
	calls map[string]int // notifications by call id
}

// startReceiver starts a receiver that accepts every notification at once.
func (s *Stage) startReceiver() (*Receiver, error) {
	r := &Receiver{Addr: s.Addr(), stage: s, calls: map[string]int{}}
	listener, err := net.Listen("tcp", r.Addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, r) }()
	return r, nil
}

// ServeHTTP takes one notification.
func (r *Receiver) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	var message struct {
		Data struct {
			CallID  string `json:"call_id"`
			Outcome string `json:"outcome"`
		} `json:"data"`
	}
	if err := json.NewDecoder(request.Body).Decode(&message); err != nil {
		return
	}
	r.stage.Note("notification of call %s: %s", message.Data.CallID, message.Data.Outcome)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[message.Data.CallID]++
}

// Has reports whether a notification of a call has come.
func (r *Receiver) Has(callID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[callID] > 0
}

// Count returns of how many calls a notification has come.
func (r *Receiver) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// webhookKey returns the signing key of a tenant's operator.
func webhookKey(tenant int) []byte { return bytes.Repeat([]byte{byte(tenant + 1)}, 24) }

// operatorFile writes an operator's file whose section on webhooks has an operator for each tenant,
// and notifies it of the settlements of a class.
func (s *Stage) operatorFile(listen, notify string, receiver *Receiver) (path string, err error) {
	var text strings.Builder
	fmt.Fprintf(&text, "[webhooks]\nlisten = %q\nstate = \"webhooks.db\"\nnotify = [%q]\n", listen, notify)
	for i, tenant := range Tenants {
		key := "whsec_" + base64.StdEncoding.EncodeToString(webhookKey(i))
		if _, err := s.Write("key-"+tenant, key+"\n"); err != nil {
			return "", err
		}
		fmt.Fprintf(&text, "[[webhooks.operator]]\nname = %q\ntenant = %q\nkeys_file = %q\nnotify = %q\n",
			tenant, tenant, "key-"+tenant, "http://"+receiver.Addr+"/oakthread")
	}
	return s.Write("oakthread.toml", text.String())
}

// SendMessage sends a signed webhook that asks for a call, as the first tenant's operator does, and
// returns the status of the answer; 0 if none came. The signature is that of Standard Webhooks.
func (s *Stage) SendMessage(addr, id, class string) (status int) {
	body := fmt.Sprintf(`{"type":"%s.requested","data":{"function":"000000007f3a0001","body":"bm9ydGg="}}`, class)
	seconds := strconv.FormatInt(time.Now().Unix(), 10)
	mac := hmac.New(sha256.New, webhookKey(0))
	fmt.Fprintf(mac, "%s.%s.%s", id, seconds, body)
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Webhook-Id", id)
	request.Header.Set("Webhook-Timestamp", seconds)
	request.Header.Set("Webhook-Signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.Note("message %s %s: %v", id, class, err)
		return 0
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	s.Note("message %s %s: %d %s", id, class, response.StatusCode, answer)
	return response.StatusCode
}
