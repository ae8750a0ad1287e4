package platform

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// reportAliases are the names that load reports use on sockets for the settings' fields.
var reportAliases = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps",
}

// parseReport reads a load report such as inflight:7;util:0.61 in the order of the settings; one that lacks a field
// or holds what is no number is no report.
func (f *ExecutorPool) parseReport(text string) []float64 {
	if text == "" || len(f.reportFields) == 0 {
		return nil
	}
	vs, err := parseFigures(text)
	if err != nil {
		return nil
	}
	out := make([]float64, 0, len(f.reportFields))
	for _, n := range f.reportFields {
		v, ok := vs[n]
		if !ok {
			v, ok = vs[reportAliases[n]]
		}
		if !ok {
			return nil
		}
		out = append(out, v)
	}
	return out
}

// parseFigures reads name:number pairs parted by semicolons.
func parseFigures(text string) (map[string]float64, error) {
	out := map[string]float64{}
	for _, part := range strings.Split(text, ";") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, num, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("%q is no figure", part)
		}
		out[strings.TrimSpace(name)] = v
	}
	return out, nil
}
