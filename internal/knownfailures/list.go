package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	listName         = "KNOWN-RED.txt"
	maxKnownFailures = 3 // more than these are to be fixed before anything else
)

// knownFailure is a test that is known to fail.
type knownFailure struct {
	folder string // of the package, below the module's root; empty for the root itself
	test   string
	cause  string
	issue  int
}

// testName matches a test with the folder of its package, such as internal/platform.TestX.
var testName = regexp.MustCompile(`^(?:(.+)\.)?(Test\w*)$`)

// readList reads the list at path. A list that does not exist is empty.
func readList(path string) ([]knownFailure, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var failures []knownFailure
	for i, line := range strings.Split(strings.TrimRight(string(raw), "\n"), "\n") {
		failure, ok := parseLine(line)
		if !ok {
			return nil, fmt.Errorf("%s:%d: %q: want TEST | CAUSE | ISSUE", listName, i+1, line)
		}
		isSame := func(other knownFailure) bool {
			return other.folder == failure.folder && other.test == failure.test
		}
		if slices.ContainsFunc(failures, isSame) {
			name, _, _ := strings.Cut(line, "|")
			return nil, fmt.Errorf("%s:%d: %s stands there twice", listName, i+1, strings.TrimSpace(name))
		}
		failures = append(failures, failure)
		if len(failures) > maxKnownFailures {
			return nil, fmt.Errorf("%s: more than %d lines", listName, maxKnownFailures)
		}
	}
	return failures, nil
}

// parseLine parses TEST | CAUSE | ISSUE. The issue may begin with a #.
func parseLine(line string) (failure knownFailure, ok bool) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return failure, false
	}
	name := testName.FindStringSubmatch(strings.TrimSpace(fields[0]))
	cause := strings.TrimSpace(fields[1])
	issue, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(fields[2]), "#"))
	if name == nil || cause == "" || err != nil || issue <= 0 {
		return failure, false
	}
	return knownFailure{folder: name[1], test: name[2], cause: cause, issue: issue}, true
}

// inFolder returns the failures of the package in a folder, relative to the module's root.
func inFolder(failures []knownFailure, folder string) []knownFailure {
	return slices.DeleteFunc(slices.Clone(failures), func(failure knownFailure) bool {
		return filepath.Join(".", failure.folder) != folder
	})
}
