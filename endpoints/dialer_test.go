package endpoints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDialer(t *testing.T) {
	d := NewDialer([]string{"a", "b", "c"}, 3)
	first, wait := d.Next()
	assert.Zero(t, wait)
	seen := map[string]bool{first: true}
	for range 2 {
		d.Failed()
		a, w := d.Next()
		seen[a] = true
		assert.LessOrEqual(t, w, minDialBackoff)
	}
	assert.Len(t, seen, 3, "in turn")
	most := time.Duration(0)
	for range 200 {
		d.Failed()
		_, w := d.Next()
		most = max(most, w)
	}
	assert.LessOrEqual(t, most, maxDialBackoff)
	assert.Greater(t, most, maxDialBackoff/2)
	at, _ := d.Next()
	d.Good()
	again, wait := d.Next()
	assert.Equal(t, at, again)
	assert.Zero(t, wait)
	_, wait = NewDialer(nil, 0).Next()
	assert.Equal(t, maxDialBackoff, wait)
}
