package loganalysis

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// parseFields returns the fields of a line of slog's text or JSON handler. A text line may start
// with a prefix added by a log collector. It returns nil for any other line.
func parseFields(line string) map[string]string {
	if strings.HasPrefix(line, "{") {
		return parseJSONFields(line)
	}
	start := strings.Index(line, "time=")
	if start < 0 {
		return nil
	}
	return parseTextFields(line[start:])
}

func parseJSONFields(line string) map[string]string {
	var values map[string]any
	decoder := json.NewDecoder(strings.NewReader(line))
	decoder.UseNumber()
	if decoder.Decode(&values) != nil {
		return nil
	}
	fields := make(map[string]string, len(values))
	for key, value := range values {
		fields[key] = fmt.Sprint(value)
	}
	return fields
}

func parseTextFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return nil // cut within a key
		}
		if !strings.HasPrefix(rest, `"`) {
			fields[key], line, _ = strings.Cut(rest, " ")
			continue
		}
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return nil // cut within a value
		}
		fields[key], _ = strconv.Unquote(quoted)
		line = strings.TrimPrefix(rest[len(quoted):], " ")
	}
	return fields
}
