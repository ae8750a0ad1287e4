package config

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// keyError is the error of a key that is unknown or has an invalid value.
type keyError struct {
	key    string // with its section, such as list.path
	value  string // empty: not shown
	reason string
}

// Error returns the key, the quoted value and the reason.
func (e *keyError) Error() string {
	if e.value == "" {
		return fmt.Sprintf("key %s: %s", e.key, e.reason)
	}
	return fmt.Sprintf("key %s: %q %s", e.key, e.value, e.reason)
}

// locateError wraps err with the path of the file and, if found, the line of the key.
func locateError(path, text string, err *keyError) error {
	if line := findKey(text, err.key); line > 0 {
		return fmt.Errorf("%s: line %d, %w", path, line, err)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// findKey returns the number of the line that sets a key, or that of its section's header, or 0 if
// neither is found. It understands only the common forms of TOML, since its result is only a hint.
func findKey(text, key string) int {
	section, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		section, name = key[:i], key[i+1:]
	}
	currentSection, headerLine := "", 0
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			header, _, _ := strings.Cut(line, "#")
			currentSection = strings.Trim(header, "[] \t")
			if currentSection == key || currentSection == section && headerLine == 0 {
				headerLine = i + 1
			}
			continue
		}
		left, _, isAssignment := strings.Cut(line, "=")
		if isAssignment && currentSection == section && strings.Trim(strings.TrimSpace(left), `"'`) == name {
			return i + 1
		}
	}
	return headerLine
}

// tomlError matches the errors of the TOML library. Its groups are the line, the key and the reason.
var tomlError = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (?s:(.*))$`)

// decodeError converts an error of the TOML library to a single line that includes the text of the
// faulty line, so that the value is shown.
func decodeError(text string, err error) error {
	match := tomlError.FindStringSubmatch(err.Error())
	if match == nil {
		return errors.New(oneLine(strings.TrimPrefix(err.Error(), "toml: ")))
	}
	number, _ := strconv.Atoi(match[1])
	lines := strings.Split(text, "\n")
	if number < 1 || number > len(lines) {
		return err
	}
	key, reason, line := match[2], oneLine(match[3]), strings.TrimSpace(lines[number-1])
	return fmt.Errorf("line %d, key %s: %s: %q", number, key, reason, line)
}

func oneLine(s string) string { return strings.ReplaceAll(s, "\n", " ") }
