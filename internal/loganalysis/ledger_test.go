package loganalysis

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two dispatchers: both load f1, the second while the copy at worker 1 stands; worker 2 fails and is ejected by one.
var logs = map[string]string{
	"n0": `0.000 time=2026-12-01T21:00:00.000Z level=INFO msg=serving name=n0 listen=10.0.0.1:9090
0.010 time=2026-12-01T21:00:00.010Z level=DEBUG msg=dialed name=n0 addr=10.1.0.1:9090 err=<nil>
0.900 time=2026-12-01T21:00:00.900Z level=DEBUG msg="attempt ended" name=n0 id=a n=0 worker=1 fn=7 class=0 result=ok note=2 ms=880
1.000 time=2026-12-01T21:00:01.000Z level=DEBUG msg="attempt ended" name=n0 id=b n=0 worker=1 fn=7 class=0 result=ok note=1 ms=40
1.000 time=2026-12-01T21:00:01.000Z level=DEBUG msg=settled name=n0 id=b outcome=served
1.100 time=2026-12-01T21:00:01.100Z level=DEBUG msg="attempt ended" name=n0 id=c n=0 worker=2 fn=8 class=0 result=error note=0 ms=20
3.100 time=2026-12-01T21:00:03.100Z level=INFO msg="worker 2 ejected: 52% of late calls failed" name=n0
3.200 time=2026-12-01T21:00:03.200Z level=DEBUG msg="attempt ended" name=n0 id=d n=0 work`,
	"n1": `{"time":"2026-12-01T21:00:03.300Z","level":"DEBUG","msg":"attempt ended","name":"n1","id":"e","worker":3,"fn":7,"result":"ok","note":2,"ms":900}
{"time":"2026-12-01T21:00:03.400Z","level":"DEBUG","msg":"order ended","name":"n1","worker":3,"fn":7,"copies":1,"result":"ok","ms":950}
{"time":"2026-12-01T21:00:05.100Z","level":"DEBUG","msg":"attempt ended","name":"n1","id":"g","worker":2,"fn":8,"result":"connect_failed","note":0,"ms":250}
{"time":"2026-12-01T21:00:05.200Z","level":"DEBUG","msg":"attempt ended","worker":2,"result":"ok","ms":"many"}
{"time": 5
panic: what is no line of ours`,
}

func TestLedgerCountsOverTheFleet(t *testing.T) {
	var l Ledger
	for name, text := range logs {
		require.NoError(t, l.Read(name, strings.NewReader(text)))
	}
	require.Len(t, l.Nodes, 2)
	require.Equal(t, 14, l.Lines)
	require.Equal(t, 4, l.Skipped, "cut, ms no number, cut JSON, foreign")

	begun, needless := l.Loads(8 * time.Second)
	require.Equal(t, []int{2, 1}, []int{begun, needless})
	_, needless = l.Loads(time.Second)
	require.Zero(t, needless, "the copy was idle for longer than it stays")

	w := l.Workers()
	require.Equal(t, "2", w[0].ID, "most failures first")
	require.Equal(t, Counts{"error": 1, "connect_failed": 1}, w[0].Results)
	require.Equal(t, 4*time.Second, w[0].FailedFor)
	require.Equal(t, 1, w[0].Ejected)
	require.Equal(t, 2*time.Second, w[0].Middle)
	require.Equal(t, 2, w[0].From)
	require.Equal(t, 2, w[2].Busiest, "the order and the call began within 100 ms")
	require.Equal(t, Counts{"ok": 1}, w[2].Orders)

	require.Equal(t, 1, l.Moments()[len(l.Moments())-1].Standing, "worker 2 is out at n0 to the end")
	var later Ledger
	require.NoError(t, later.Read("n2", strings.NewReader(`time=2026-12-01T21:00:01.000Z level=DEBUG msg="attempt ended" id=a n=2 worker=4 fn=7 result=full ms=1
time=2026-12-01T21:00:01.100Z level=INFO msg="worker 4 ejected: it cannot be reached"
time=2026-12-01T21:00:01.200Z level=INFO msg="worker 5 ejected with zone 1, which is cut off: 3 executors in a row cannot be reached"
time=2026-12-01T21:00:02.000Z level=DEBUG msg="attempt ended" id=b n=7 worker=4 fn=7 result=ok note=1 ms=1
time=2026-12-01T21:00:02.100Z level=INFO msg="worker 6 back, and with it zone 1: it can be reached"`)))
	require.Equal(t, []Moment{{At: at(1), Attempts: 1, Full: 1, Tries: [5]int{2: 1}, Standing: 2, Cut: 1}, {At: at(2), Attempts: 1, Tries: [5]int{4: 1}}}, later.Moments())
	require.Equal(t, []Crowd{{At: at(1), ID: "4", Attempts: 1, Full: 1, From: 1}, {At: at(2), ID: "4", Attempts: 1, From: 1}}, later.Crowds(3))

	var out strings.Builder
	require.NoError(t, l.Report(&out, 8*time.Second))
	require.Contains(t, out.String(), "2 dispatchers, 14 lines, 4 not readable; 2 loads begun by calls, 1 of them needless")
	require.Contains(t, out.String(), "connect_failed 1, error 1")
}

func at(second int64) int64 { return time.Date(2026, 12, 1, 21, 0, 0, 0, time.UTC).Unix() + second }
