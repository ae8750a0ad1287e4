package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The dialer cycles through its addresses, waits at most maxDialBackoff however many connections
// have failed, and returns the last address again after a success.
func TestDialerCyclesAddressesWithBoundedBackoff(t *testing.T) {
	dialer := NewDialer([]string{"a", "b", "c"}, 3)
	first, wait := dialer.Next()
	assert.Zero(t, wait)
	seen := map[string]bool{first: true}
	for range 2 {
		dialer.Failed()
		addr, backoff := dialer.Next()
		seen[addr] = true
		assert.LessOrEqual(t, backoff, minDialBackoff)
	}
	assert.Len(t, seen, 3, "each address is returned once per round")
	longest := time.Duration(0)
	for range 200 {
		dialer.Failed()
		_, backoff := dialer.Next()
		longest = max(longest, backoff)
	}
	assert.LessOrEqual(t, longest, maxDialBackoff)
	assert.Greater(t, longest, maxDialBackoff/2)
	addr, _ := dialer.Next()
	dialer.Succeeded()
	again, wait := dialer.Next()
	assert.Equal(t, addr, again)
	assert.Zero(t, wait)
	_, wait = NewDialer(nil, 0).Next()
	assert.Equal(t, maxDialBackoff, wait)
}
