package lab

import (
	"oakthread/aggregate"
)

// partitioned reports whether the partition of FaultRegions drops messages between two dispatchers.
func (h *hollowWorld) partitioned(from, to int) bool {
	return h != nil && h.split && (2*from < len(h.nodes)) != (2*to < len(h.nodes))
}

// countSent counts a message when it is sent and returns its kind; countReceived counts it when it
// arrives. This identifies a term's leader: only it writes digests, and reports are sent only to
// it.
func (h *hollowWorld) countSent(node *simNode, to int, data string) (n messageKind) {
	if h == nil {
		return n
	}
	m, ok := aggregate.Decode(data, len(h.nodes))
	n = messageKind{ok && m.FromLeader && !m.Continued, ok && !m.FromLeader && !m.Continued && !m.SyncRequest}
	if n.digest {
		h.countDigest(node.n)
	}
	copies := 1
	if to < 0 {
		copies = len(h.nodes) - 1
	}
	h.meter.wrote = true
	if h.meter.on {
		h.meter.outBytes[node.n] += int64(copies * len(data))
		h.meter.totals[2] += copies * len(data)
		h.meter.totals[3] += copies
		h.meter.leads[node.n] = h.meter.leads[node.n] || m.FromLeader
	}
	return n
}

// countReceived counts a message that arrives at dispatcher n.
func (h *hollowWorld) countReceived(n int, data string, what messageKind) {
	if h == nil {
		return
	}
	if what.digest {
		h.countDigest(n)
	}
	if h.meter.on {
		h.meter.inBytes[n] += int64(len(data))
		h.meter.totals[0] += len(data)
		h.meter.totals[1]++
		h.meter.leads[n] = h.meter.leads[n] || what.report
	}
}

// countDigest counts dispatcher n once per term as a holder of the digest.
func (h *hollowWorld) countDigest(n int) {
	if t := h.now.UnixNano() / h.term; t != h.lastDigestTerm[n] {
		h.lastDigestTerm[n] = t
		h.digestHolders[t]++
	}
}
