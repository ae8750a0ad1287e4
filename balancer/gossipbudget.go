package balancer

const (
	// gossipCostShare is what a call may cost in reports, and the same again in digests, as a share
	// of its priority weight.
	gossipCostShare = 0.005
	// minMessagePrice is the price used where a lower one is configured, because each message also
	// costs its receiver time to read.
	minMessagePrice = 0.002
	// maxGossipBudget bounds the unused budget for messages, in calls.
	maxGossipBudget = 10.0
	// pricedBytes is the message size, one full datagram, to which the configured price applies.
	pricedBytes = 256
)

// tokenBucket limits what is spent on messages. Its unit is the priority weight of one call.
type tokenBucket struct {
	tokens   float64
	lastCost float64 // cost of the last message, sent or not
}

// refill adds tokens, up to the capacity of the bucket.
func (t *tokenBucket) refill(tokens float64) { t.tokens = min(t.tokens+tokens, maxGossipBudget) }

// coversLast reports whether the tokens cover a message that costs the same as the last one, or the
// bucket is full.
func (t *tokenBucket) coversLast() bool { return t.tokens >= min(t.lastCost, maxGossipBudget) }

// gossipChannel is the receiver of a message and the budget that pays for it.
type gossipChannel struct {
	budget       *tokenBucket
	receiver     int     // index of a dispatcher, or allDispatchers
	pricePerByte float64 // summed over all receivers
}

// channelTo returns the channel for a report to the leader or, if this dispatcher is the leader,
// for a digest to all.
func (b *Balancer) channelTo(leader int) gossipChannel {
	receivers := 1
	channel := gossipChannel{budget: &b.gossip.reportBudget, receiver: leader}
	if leader == b.settings.DispatcherIndex {
		receivers = b.settings.Dispatchers - 1
		channel = gossipChannel{budget: &b.gossip.digestBudget, receiver: allDispatchers}
	}
	channel.pricePerByte = max(b.settings.PeerPrice, minMessagePrice) * float64(receivers) / pricedBytes
	return channel
}

// affordableBytes returns the size in bytes of the longest message that the budget covers.
func (c *gossipChannel) affordableBytes() int { return int(c.budget.tokens / c.pricePerByte) }

// spend deducts the cost of a message of a size in bytes if the budget covers it, and reports
// whether it does.
func (c *gossipChannel) spend(size int) bool {
	cost := c.pricePerByte * float64(size)
	c.budget.lastCost = cost
	if cost > c.budget.tokens {
		return false
	}
	c.budget.tokens -= cost
	return true
}
