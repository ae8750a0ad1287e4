package balancer

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakthread/aggregate"
)

var update = flag.Bool("update", false, "write the golden file from the program's output before comparing")

const peerDatagramsFile = "testdata/peer-datagrams.golden"

func peerSettings(number int) Settings {
	settings := testSettings(Idempotent, ScopeAll)
	settings.DispatcherIndex, settings.Dispatchers, settings.Gossip = number, 3, true
	settings.TenantQuota = []float64{50}
	return settings
}

// peerDatagrams runs dispatcher 0 of three for 12 seconds of simulated time, which are six terms.
// It returns the datagrams that the dispatcher sent, each as a line with its destination and text,
// and their times. Calls fail at worker 2, some are never answered, and the other two dispatchers
// send reports, digests and a request for its holders.
func peerDatagrams(t *testing.T) (lines []string, times []int64) {
	t.Helper()
	settings := peerSettings(0)
	balancer, host := newTestBalancer(t, settings, 6)
	for i := range 600 {
		now, id := int64(i)*20*ms, fmt.Sprint(i)
		balancer.HandleRequest(now, testRequest(id, now, FuncID(i%5)))
		if i%40 != 39 {
			answer := successful(id, host.lastWorker[id])
			if answer.Worker == 2 {
				balancer.HandleAttemptResult(now+4*ms, AttemptResult{ID: id, Worker: 2, Result: Error})
				answer.Attempt, answer.Worker = 1, host.lastWorker[id]
			}
			balancer.HandleAttemptResult(now+5*ms, answer)
		}
		if i%50 == 25 {
			for from := 1; from < settings.Dispatchers; from++ {
				report := aggregate.Message{
					Calls: 20,
					Marks: []aggregate.Mark{{Worker: 2, Failed: 3}},
					Report: aggregate.Report{
						Incarnation: 1,
						Seq:         uint8(i / 50),
						Values:      []float64{12.5, 20, 3},
						Fresh:       i < 100,
					},
					Counts:  []aggregate.Count{{Worker: 4, InFlight: from, Responded: true}, {Worker: 5, Silent: true}},
					Holders: []aggregate.Holder{{Func: uint32(100 + from), Worker: 6}},
				}
				balancer.HandlePeerMessage(now+6*ms, from, report.Encode(settings.Dispatchers)[0])
			}
		}
		if i%100 == 60 {
			balancer.HandlePeerMessage(now+7*ms, 1,
				encodedDigest(balancer, now+7*ms, []float64{60, 60, 5},
					aggregate.Count{Worker: 1, InFlight: 3, Responded: true}))
		}
		if i == 300 {
			balancer.HandlePeerMessage(now+8*ms, 2,
				aggregate.Message{SyncRequest: true, Continued: true}.Encode(settings.Dispatchers)[0])
		}
		balancer.HandleTimer(now+10*ms, host.timerRef)
		for n := len(lines); n < len(host.messages); n++ {
			lines, times = append(lines, fmt.Sprint(host.receivers[n], " ", host.messages[n])), append(times, now+10*ms)
		}
	}
	return lines, times
}

func goldenPeerDatagrams(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile(peerDatagramsFile)
	require.NoError(t, err)
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

func TestPeerDatagramsMatchGoldenFile(t *testing.T) {
	lines, _ := peerDatagrams(t)
	if *update {
		require.NoError(t, os.WriteFile(peerDatagramsFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	assert.Equal(t, goldenPeerDatagrams(t), lines)
}

func TestGoldenPeerDatagramsAreAcceptedByAnotherDispatcher(t *testing.T) {
	_, times := peerDatagrams(t)
	lines := goldenPeerDatagrams(t)
	require.Len(t, lines, len(times))
	settings := peerSettings(1)
	balancer, _ := newTestBalancer(t, settings, 6)
	kinds := map[string]int{}
	for i, line := range lines {
		to, text, found := strings.Cut(line, " ")
		require.True(t, found, line)
		number, err := strconv.Atoi(to)
		require.NoError(t, err)
		message, readable := aggregate.Decode(text, settings.Dispatchers)
		require.True(t, readable, line)
		switch {
		case message.SyncRequest:
			kinds["sync request"]++
		case message.Continued:
			kinds["holders"]++
		case message.FromLeader:
			kinds["digest"]++
			assert.Equal(t, -1, number, "a digest goes to all")
		case message.Report.LastCounted != nil:
			kinds["report with LastCounted"]++
		default:
			kinds["report"]++
		}
		assert.True(t, balancer.HandlePeerMessage(times[i], 0, text), line)
	}
	for _, kind := range []string{"sync request", "holders", "digest", "report with LastCounted", "report"} {
		assert.Positive(t, kinds[kind], kind)
	}
	assert.Zero(t, balancer.gossip.aggregator.Dropped, "rows and digests dropped")
	assert.False(t, balancer.FleetView().NoDigest, "a digest was accepted")
}
