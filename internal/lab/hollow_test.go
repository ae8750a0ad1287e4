package lab

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func smallHollow() HollowSize {
	return HollowSize{Dispatchers: 12, Executors: 20, Functions: 100, Calls: 20, ListEvents: 2, Span: 4 * time.Second}
}

// exact are the figures that no clock or collector has a part in.
func exact(r *HollowResult) map[string]float64 {
	out := map[string]float64{}
	for name, x := range r.Figures {
		if !strings.HasPrefix(name, "cpu.") && name != "heap" && name != "resident" {
			out[name] = x
		}
	}
	return out
}

// The same seed repeats exactly, another does not.
func TestHollowRepeats(t *testing.T) {
	run := func(seed uint64) map[string]float64 {
		r, err := HollowRun(t.Context(), smallHollow(), seed)
		require.NoError(t, err)
		return exact(r)
	}
	a := run(1)
	assert.Equal(t, a, run(1))
	assert.NotEqual(t, a, run(2))
}

// Each fault runs to its end: no path-book runs twice, every call ends, and what the meter shows comes out.
func TestHollowFaults(t *testing.T) {
	for _, fault := range append(HollowFaults(), "") {
		size := smallHollow()
		size.Fault, size.ListEvents = fault, 0
		r, err := HollowRun(t.Context(), size, 3)
		require.NoError(t, err, fault)
		assert.Zero(t, r.Figures["twice"]+r.Figures["open"]+r.Figures["fallen"]+r.Figures["late"], fault)
		for _, name := range []string{"worth", "unserved", "heap", "cpu.choice", "cpu.control", "cpu.config", "bytes.in", "digests", "covered"} {
			assert.Contains(t, r.Figures, name, fault)
		}
		assert.Greater(t, r.Figures["worth"], 0.6, fault)
		assert.Empty(t, r.Partial)
	}
}

func TestHollowRefuses(t *testing.T) {
	size := smallHollow()
	size.Memory = 10 << 20
	_, err := HollowRun(t.Context(), size, 1)
	require.ErrorIs(t, err, ErrHollowMemory)
	assert.Contains(t, err.Error(), "12 dispatchers, 20 executors, 100 functions")
	assert.NotContains(t, err.Error(), "\n")
	for _, bad := range []HollowSize{{}, {Dispatchers: 1, Executors: 1, Functions: 1}, {Dispatchers: 1, Executors: 1, Functions: 1, Span: 1, Fault: "none such"}} {
		_, err := HollowRun(t.Context(), bad, 1)
		assert.Error(t, err, fmt.Sprint(bad))
	}
	r, err := HollowRun(canceled(t), smallHollow(), 1)
	require.ErrorIs(t, err, context.Canceled)
	assert.NotEmpty(t, r.Partial)
}
