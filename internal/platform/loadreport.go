package platform

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// reportAliases maps field names of the settings to the other names that load reports on the wire
// use.
var reportAliases = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps",
}

// parseReport parses a load report such as "inflight:7;util:0.61" and returns its values in the
// order of the settings. It returns nil if the settings name no fields, a field is missing or a
// value is invalid.
func (p *ExecutorPool) parseReport(text string) []float64 {
	if text == "" || len(p.reportFields) == 0 {
		return nil
	}
	valuesByName, err := parseNumberPairs(text)
	if err != nil {
		return nil
	}
	values := make([]float64, 0, len(p.reportFields))
	for _, field := range p.reportFields {
		value, ok := valuesByName[field]
		if !ok {
			value, ok = valuesByName[reportAliases[field]]
		}
		if !ok {
			return nil
		}
		values = append(values, value)
	}
	return values
}

// parseNumberPairs parses name:number pairs separated by semicolons. Numbers must be finite and not
// negative. Clients receive its error when their X-Extras header is invalid.
func parseNumberPairs(text string) (map[string]float64, error) {
	values := map[string]float64{}
	for _, part := range strings.Split(text, ";") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, number, ok := strings.Cut(part, ":")
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return nil, fmt.Errorf("%q is no figure", part)
		}
		values[strings.TrimSpace(name)] = value
	}
	return values, nil
}
