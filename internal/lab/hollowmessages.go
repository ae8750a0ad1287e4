package lab

import (
	"oakthread/aggregate"
)

// parted reports whether one dispatcher does not receive the other's messages.
func (h *hollowWorld) parted(from, to int) bool {
	return h != nil && h.halves && (2*from < len(h.nodes)) != (2*to < len(h.nodes))
}

// countSent counts a text as it is sent and classifies it; countReceived counts it as it arrives.
// The collector of a term is recognised by this: it writes digests, and reports come to it alone.
func (h *hollowWorld) countSent(node *simNode, to int, data string) (n note) {
	if h == nil {
		return n
	}
	m, ok := aggregate.Decode(data, len(h.nodes))
	n = note{ok && m.FromLeader && !m.Continued, ok && !m.FromLeader && !m.Continued && !m.SyncRequest}
	if n.digest {
		h.countDigest(node.n)
	}
	copies := 1
	if to < 0 {
		copies = len(h.nodes) - 1
	}
	h.meter.wrote = true
	if h.meter.on {
		h.meter.outByte[node.n] += int64(copies * len(data))
		h.meter.sums[2] += copies * len(data)
		h.meter.sums[3] += copies
		h.meter.collects[node.n] = h.meter.collects[node.n] || m.FromLeader
	}
	return n
}

// countReceived counts a text that arrives at dispatcher n.
func (h *hollowWorld) countReceived(n int, data string, what note) {
	if h == nil {
		return
	}
	if what.digest {
		h.countDigest(n)
	}
	if h.meter.on {
		h.meter.inBytes[n] += int64(len(data))
		h.meter.sums[0] += len(data)
		h.meter.sums[1]++
		h.meter.collects[n] = h.meter.collects[n] || what.report
	}
}

func (h *hollowWorld) countDigest(n int) {
	if t := h.now.UnixNano() / h.term; t != h.terms[n] {
		h.terms[n] = t
		h.digestReaders[t]++
	}
}
