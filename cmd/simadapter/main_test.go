package main

import (
	"bytes"
	"strings"
	"testing"
)

// bootLines are the events that start an instance with one worker.
const bootLines = `{"clock":{"sim_time_ns":1000000000}}
{"boot":{"who":"dispatcher_1","prng":5,"setup":{"siblings":1,"quantum_ns":2000000,` +
	`"categories":[{"aim_ns":1000000000,"give_up_ns":3000000000,"credit":1,"idempotency":"read_like"}],` +
	`"permissions":{"send_cap":3},"specifics":{"on_miss":"load"}}}}
{"define_list":{"bank":0,"entries":[` +
	`{"runner":7,"hall":0,"hw":0,"block":0,"readiness":"on","nominal":1}]}}
{"sync":{"who":"dispatcher_1","kind":"cached","seq_no":1,"bank":0}}
`

// serveLines returns what serve writes for the given lines.
func serveLines(t *testing.T, lines string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(lines), &out)
	return out.String(), err
}

// Without workers a request gets no attempt, so that only the timer rejects it.
func TestTimerReachesBalancer(t *testing.T) {
	out, err := serveLines(t, bootLines+`{"sync":{"who":"dispatcher_1","kind":"delta","seq_no":2,"bank":0}}
{"define_list":{"bank":0,"entries":[]}}
{"sync":{"who":"dispatcher_1","kind":"full","seq_no":3,"bank":0}}
{"demand":{"who":"dispatcher_1","xid":"rq_a","kind":0,"target_fn":"00000000000000ff",`+
		`"valid_until_ns":1100000000,"lanes":1}}
{"over_to_you":{}}
{"clock":{"sim_time_ns":1098000000}}
{"bell":{"who":"dispatcher_1","ref":1}}
{"unheard_of":{"who":"dispatcher_1"}}
{"over_to_you":{}}
`)
	if err != nil {
		t.Fatal(err)
	}
	rejected := `{"shed":{"who":"dispatcher_1","xid":"rq_a"`
	if strings.Count(out, `"yield"`) != 2 || !strings.Contains(out, rejected) {
		t.Fatalf("reply: %s", out)
	}
}

func TestRequestIsSentToWorker(t *testing.T) {
	out, err := serveLines(t, bootLines+
		`{"demand":{"who":"dispatcher_1","xid":"rq_a","kind":0,"target_fn":"00000000000000ff",`+
		`"valid_until_ns":4000000000,"lanes":1}}
{"over_to_you":{}}
{"clock":{"sim_time_ns":1200000000}}
{"attempt_end":{"who":"dispatcher_1","xid":"rq_a","finished":true,"rtt_ns":1,"trial":0,"runner":7,`+
		`"how":"delivered","info":2}}
{"over_to_you":{}}
`)
	if err != nil || !strings.Contains(out, `{"pass_on":{"who":"dispatcher_1","xid":"rq_a","runner":7}}`) {
		t.Fatalf("%v: %s", err, out)
	}
}

func TestErrorsNameMalformedInput(t *testing.T) {
	for _, test := range []struct{ name, lines, want string }{
		{"no JSON", "nonsense\n", "line 1"},
		{"unknown instance", bootLines + `{"bell":{"who":"dispatcher_9","ref":1}}` + "\n", "dispatcher_9"},
		{"unknown list", bootLines +
			`{"sync":{"who":"dispatcher_1","kind":"full","seq_no":2,"bank":4}}` + "\n", "field bank"},
		{"malformed function", bootLines +
			`{"demand":{"who":"dispatcher_1","xid":"a","target_fn":"no number"}}` + "\n", "field target_fn"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := serveLines(t, test.lines); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v does not name %s", err, test.want)
			}
		})
	}
}
