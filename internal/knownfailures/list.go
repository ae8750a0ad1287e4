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
	maxKnownFailures = 6 // a longer list is rejected: failures beyond it have to be fixed first
)

// knownFailure is a test or subtest that is known to fail.
type knownFailure struct {
	folder  string // package directory relative to the module's root; empty for the root itself
	test    string
	subtest string // as go test prints its name; empty for the whole test
	command string // reproduces the failure, including the seed
	symptom string // failure that was observed
	issue   int    // number in the issue tracker
}

// name returns the name of the test as go test prints it.
func (f *knownFailure) name() string {
	if f.subtest == "" {
		return f.test
	}
	return f.test + "/" + f.subtest
}

// pattern returns a pattern for the -run and -skip flags of go test that matches only this test or
// subtest.
func (f *knownFailure) pattern() string {
	elements := strings.Split(f.name(), "/")
	for i, element := range elements {
		elements[i] = "^" + regexp.QuoteMeta(element) + "$"
	}
	return strings.Join(elements, "/")
}

// testName matches a test or subtest with the directory of its package, such as
// internal/platform.TestX/subtest.
var testName = regexp.MustCompile(`^(?:([^/.]+(?:/[^/.]+)*)\.)?(Test\w*)(?:/(\S+))?$`)

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
			return nil, fmt.Errorf("%s:%d: %q: want TEST | COMMAND AND SEED | SEEN | ISSUE", listName, i+1, line)
		}
		isSame := func(other knownFailure) bool {
			return other.folder == failure.folder && other.name() == failure.name()
		}
		if slices.ContainsFunc(failures, isSame) {
			name, _, _ := strings.Cut(line, "|")
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listName, i+1, strings.TrimSpace(name))
		}
		failures = append(failures, failure)
		if len(failures) > maxKnownFailures {
			return nil, fmt.Errorf("%s: more than %d lines", listName, maxKnownFailures)
		}
	}
	return failures, nil
}

// parseLine parses TEST | COMMAND AND SEED | SEEN | ISSUE. The issue may begin with a #.
func parseLine(line string) (failure knownFailure, ok bool) {
	fields := strings.Split(line, "|")
	if len(fields) != 4 {
		return failure, false
	}
	for i, field := range fields {
		fields[i] = strings.TrimSpace(field)
	}
	name := testName.FindStringSubmatch(fields[0])
	issue, err := strconv.Atoi(strings.TrimPrefix(fields[3], "#"))
	if name == nil || fields[1] == "" || fields[2] == "" || err != nil || issue <= 0 {
		return failure, false
	}
	return knownFailure{
		folder: name[1], test: name[2], subtest: name[3], command: fields[1], symptom: fields[2], issue: issue,
	}, true
}

// inFolder returns the failures of the package in a directory given relative to the module's root.
func inFolder(failures []knownFailure, folder string) []knownFailure {
	return slices.DeleteFunc(slices.Clone(failures), func(failure knownFailure) bool {
		return filepath.Join(".", failure.folder) != folder
	})
}
