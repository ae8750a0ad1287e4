package platform

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// reportAliases are the names that load reports on sockets use for the fields named in the settings.
var reportAliases = map[string]string{
	"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps",
}

// parseReport reads a load report such as "inflight:7;util:0.61" and returns its values in the order of
// the settings. It returns nil if a field is missing or a value is not a number.
func (p *ExecutorPool) parseReport(text string) []float64 {
	if text == "" || len(p.reportFields) == 0 {
		return nil
	}
	byName, err := parseFigures(text)
	if err != nil {
		return nil
	}
	values := make([]float64, 0, len(p.reportFields))
	for _, field := range p.reportFields {
		value, ok := byName[field]
		if !ok {
			value, ok = byName[reportAliases[field]]
		}
		if !ok {
			return nil
		}
		values = append(values, value)
	}
	return values
}

// parseFigures reads pairs of the form name:number that are separated by semicolons. Numbers are finite
// and not negative.
func parseFigures(text string) (map[string]float64, error) {
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
