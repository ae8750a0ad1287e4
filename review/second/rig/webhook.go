package rig

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"strconv"
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
