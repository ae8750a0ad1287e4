package webhook

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"oakthread"
	"oakthread/balancer"
	"oakthread/classes"
)

// functionDigits is the length of a function's id in hexadecimal digits.
const functionDigits = 16

// maxQuantity is the upper limit of every number in a message. It keeps conversions from
// milliseconds to a time.Duration from overflowing.
const maxQuantity = 1e9

// callData is the data of a message that requests a call.
type callData struct {
	Function    string  `json:"function"` // 16 hexadecimal digits
	Body        []byte  `json:"body"`     // base64
	TimeoutMS   float64 `json:"patience_ms"`
	MemoryMB    float64 `json:"memory_mb"`
	Concurrency int     `json:"lanes"`
	LoadMS      float64 `json:"load_ms"`
}

// decode converts a verified message to a request to the core, of the class that is in force under
// its name. The text of an error is sent to the sender in the response.
func (rc *Receiver) decode(msg verifiedMessage) (request oakthread.Request, class classes.Class, err error) {
	var envelope struct {
		Type string   `json:"type"`
		Data callData `json:"data"`
	}
	if err := json.Unmarshal(msg.body, &envelope); err != nil {
		return request, class, fmt.Errorf("message cannot be read: %w", err)
	}
	if class, err = rc.classOf(envelope.Type); err != nil {
		return request, class, err
	}
	data := envelope.Data
	function, err := data.validate()
	if err != nil {
		return request, class, err
	}
	id, err := newCallID()
	if err != nil {
		return request, class, err
	}
	return oakthread.Request{
		ID:          id,
		Class:       class.Number,
		Tenant:      rc.tenantOf(msg.operator),
		Func:        function,
		Key:         data.Function,
		Body:        data.Body,
		Deadline:    time.Now().Add(data.timeout(time.Duration(class.Rules.ClientTimeout))),
		MemoryMB:    data.MemoryMB,
		Concurrency: data.Concurrency,
		LoadTime:    milliseconds(data.LoadMS),
		Ref:         msg.id,
	}, class, nil
}

// classOf returns the class in force that the type of a message names.
func (rc *Receiver) classOf(messageType string) (classes.Class, error) {
	name, isRequest := strings.CutSuffix(messageType, ".requested")
	class, known := rc.classes.Table().Lookup(name)
	if !isRequest || !known || !rc.isAllowed(name) {
		return class, fmt.Errorf("type %q: want a class and .requested", messageType)
	}
	if !rc.mayRun(class) {
		return class, fmt.Errorf("type %q: the class must not run twice, and there is no state file", messageType)
	}
	return class, nil
}

// validate checks the fields of a call and returns its function ID.
func (d *callData) validate() (balancer.FuncID, error) {
	function, err := strconv.ParseUint(d.Function, 16, 64)
	if err != nil || len(d.Function) != functionDigits {
		return 0, fmt.Errorf("function %q: want 16 hex digits", d.Function)
	}
	if len(d.Body) > maxCallBytes {
		return 0, fmt.Errorf("body is over %d bytes", maxCallBytes)
	}
	for _, quantity := range []float64{d.TimeoutMS, d.MemoryMB, d.LoadMS, float64(d.Concurrency)} {
		if quantity < 0 || math.IsInf(quantity, 0) || quantity > maxQuantity {
			return 0, errors.New("a figure is out of range")
		}
	}
	return balancer.FuncID(function), nil
}

// timeout returns the time within which the call must be answered: the timeout of its class, or a
// shorter one that the message requests.
func (d *callData) timeout(classTimeout time.Duration) time.Duration {
	if d.TimeoutMS <= 0 {
		return classTimeout
	}
	return min(classTimeout, milliseconds(d.TimeoutMS))
}

// tenantOf returns the index of the operator's tenant, or -1 if the settings have no tenants.
func (rc *Receiver) tenantOf(operator Operator) int {
	if i, ok := rc.tenantIndex[operator.Tenant]; ok {
		return i
	}
	return -1
}

// newCallID returns a random id of 16 hexadecimal digits.
func newCallID() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}

// milliseconds converts a number of milliseconds to a Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
