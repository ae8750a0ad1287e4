// Command knownfailures runs the tests of the module. The tests and subtests that KNOWN-RED.txt lists,
// at most six whose fault is not yet fixed, are run separately; their results are printed and do not
// fail the run. The other subtests of the same test run with the rest of the module. A list that cannot
// be parsed, or that names a test or subtest which does not exist, fails the run.
//
// A line of the list is TEST | COMMAND AND SEED | SEEN | ISSUE, such as
//
//	internal/platform.TestX/reset | go test -run TestX -seed 3 | the watcher forgets a drain | 31
//
// Arguments are passed to go test.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

func main() {
	if err := run(context.Background(), ".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}

// run tests the module at root and writes the results to out. flags are passed to go test.
func run(ctx context.Context, root string, flags []string, out io.Writer) error {
	known, err := readList(filepath.Join(root, listName))
	if err != nil {
		return err
	}
	m := module{root: root, out: out}
	if err := m.loadPackages(ctx, known); err != nil {
		return err
	}
	if err := m.checkTestsExist(ctx, len(known)); err != nil {
		return err
	}
	return errors.Join(m.runTests(ctx, flags), m.runKnownFailures(ctx, flags))
}

// module is the module under test.
type module struct {
	root   string
	out    io.Writer                 // receives the output of the tests
	others []string                  // import paths of the packages without known failures
	known  map[string][]knownFailure // by import path of the package
}

// loadPackages lists the packages of the module and assigns the known failures to them.
func (m *module) loadPackages(ctx context.Context, known []knownFailure) error {
	list, err := m.goCommand(ctx, io.Discard, "list", "-f", "{{.ImportPath}} {{.Dir}}", "./...")
	if err != nil {
		return fmt.Errorf("list packages: %w", err)
	}
	root, err := filepath.Abs(m.root)
	if err != nil {
		return err
	}
	if root, err = filepath.EvalSymlinks(root); err != nil {
		return err
	}
	m.known = map[string][]knownFailure{}
	for line := range strings.SplitSeq(strings.TrimSpace(list), "\n") {
		importPath, dir, _ := strings.Cut(line, " ")
		relative, err := filepath.Rel(root, dir)
		if err != nil {
			return err
		}
		failures := inFolder(known, relative)
		if len(failures) == 0 {
			m.others = append(m.others, importPath)
		} else {
			m.known[importPath] = failures
		}
	}
	return nil
}

// checkTestsExist returns an error if the test of a known failure or its package does not exist. count
// is the number of known failures in the list. Subtests are checked when they run.
func (m *module) checkTestsExist(ctx context.Context, count int) error {
	for importPath, failures := range m.known {
		list, err := m.goCommand(ctx, io.Discard, "test", "-list", ".", importPath)
		if err != nil {
			return fmt.Errorf("list tests of %s: %w", importPath, err)
		}
		tests := strings.Split(list, "\n")
		for _, failure := range failures {
			if !slices.Contains(tests, failure.test) {
				return fmt.Errorf("%s: no test named %s in %q", listName, failure.test, failure.folder)
			}
		}
		count -= len(failures)
	}
	if count > 0 {
		return fmt.Errorf("%s: a listed package does not exist", listName)
	}
	return nil
}

// runTests runs all tests except for the known failures.
func (m *module) runTests(ctx context.Context, flags []string) error {
	var errs []error
	if len(m.others) > 0 {
		_, err := m.goTest(ctx, m.out, flags, m.others...)
		errs = append(errs, err)
	}
	for importPath, failures := range m.known {
		var patterns []string
		for _, failure := range failures {
			patterns = append(patterns, failure.pattern())
		}
		_, err := m.goTest(ctx, m.out, flags, "-skip", strings.Join(patterns, "|"), importPath)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// runKnownFailures runs each known failure and prints its result. It returns an error if a listed
// subtest does not exist, that is if go test reports no run under its name.
func (m *module) runKnownFailures(ctx context.Context, flags []string) error {
	var errs []error
	for importPath, failures := range m.known {
		for _, failure := range failures {
			result := "fails, as known"
			output, err := m.goTest(ctx, io.Discard, flags, "-v", "-run", failure.pattern(), importPath)
			if err == nil {
				result = "passes now: remove its line"
			}
			if !strings.Contains(output, "=== RUN   "+failure.name()+"\n") {
				err := fmt.Errorf("%s: no subtest named %s in %q", listName, failure.name(), failure.folder)
				errs = append(errs, err)
				continue
			}
			fmt.Fprintf(m.out, "known red: %s.%s %s (issue %d: %s)\n",
				failure.folder, failure.name(), result, failure.issue, failure.symptom)
		}
	}
	return errors.Join(errs...)
}

// goTest runs go test with flags followed by args.
func (m *module) goTest(ctx context.Context, out io.Writer, flags []string, args ...string) (string, error) {
	return m.goCommand(ctx, out, slices.Concat([]string{"test"}, flags, args)...)
}

// goCommand runs the go command at the module's root. It returns the standard output of the command,
// which is also copied to out while it runs.
func (m *module) goCommand(ctx context.Context, out io.Writer, args ...string) (string, error) {
	var text strings.Builder
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = m.root
	command.Stdout = io.MultiWriter(&text, out)
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return text.String(), fmt.Errorf("go %s: %w", args[0], err)
	}
	return text.String(), nil
}
