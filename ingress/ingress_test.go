package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// Small requests are not counted; of large ones, that which has been arriving for longest is to be
// refused once they exceed the limit.
func TestMemoryPrefersSlowest(t *testing.T) {
	memory := NewMemory(10 << 10)
	slow, fast, small := Holding{Began: start}, Holding{Began: start.Add(time.Second)}, Holding{Began: start}
	assert.True(t, memory.Set(&small, FreeBytes))
	assert.False(t, small.IsEvictable())
	assert.True(t, memory.Set(&slow, 8<<10))
	assert.False(t, memory.Set(&fast, 8<<10))
	assert.True(t, slow.IsEvictable())
	assert.True(t, slow.SlowerThan(&fast))
	assert.True(t, memory.Set(&slow, 0), "releasing always fits")
	assert.True(t, memory.Fits())
	memory.Set(&fast, 0)
	memory.Set(&small, 0)
	assert.Zero(t, memory.Held())
}

func TestCheckHead(t *testing.T) {
	assert.Equal(t, Accepted, CheckHead(MaxHeadFields))
	assert.Equal(t, TooManyFields, CheckHead(MaxHeadFields+1))
}
