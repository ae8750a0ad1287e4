// Command knownfailures is the test command: it runs all tests but for those that KNOWN-RED.txt names, at most three that fail
// for a real fault which is not mended yet. These are run apart and printed with their outcome. It must never pass over a
// test that the file does not name, nor let a file that cannot be read pass for an empty one.
//
// A line of the file is TEST | CAUSE | ISSUE, such as
//
//	internal/platform.TestX | the hub forgets a drain | 31
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	listName = "KNOWN-RED.txt"
	mostRed  = 3
)

// red is one test that is known to fail.
type red struct {
	pkg, test, cause string // pkg is a folder below the root; "" for the root itself
	issue            int
}

func main() {
	if err := run(context.Background(), ".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}

// run tests the module at root; flags are handed to go test.
func run(ctx context.Context, root string, flags []string, out io.Writer) error {
	reds, err := read(filepath.Join(root, listName))
	if err != nil {
		return err
	}
	list, err := goes(ctx, root, io.Discard, "list", "-f", "{{.ImportPath}} {{.Dir}}", "./...")
	if err != nil {
		return fmt.Errorf("list packages: %w", err)
	}
	whole, err := filepath.Abs(root)
	if err != nil {
		return err
	}
	if whole, err = filepath.EvalSymlinks(whole); err != nil {
		return err
	}
	var others []string
	by := map[string][]red{}
	for _, line := range strings.Split(strings.TrimSpace(list), "\n") {
		path, dir, _ := strings.Cut(line, " ")
		below, err := filepath.Rel(whole, dir)
		if err != nil {
			return err
		}
		mine := slices.DeleteFunc(slices.Clone(reds), func(r red) bool { return filepath.Join(".", r.pkg) != below })
		if len(mine) == 0 {
			others = append(others, path)
		} else {
			by[path] = mine
		}
	}
	known := 0
	for path, mine := range by {
		names, err := goes(ctx, root, io.Discard, "test", "-list", ".", path)
		if err != nil {
			return fmt.Errorf("list tests of %s: %w", path, err)
		}
		for _, r := range mine {
			if !slices.Contains(strings.Split(names, "\n"), r.test) {
				return fmt.Errorf("%s: no test bears the name %s in %q", listName, r.test, r.pkg)
			}
			known++
		}
	}
	if known < len(reds) {
		return fmt.Errorf("%s: a package that it names does not exist", listName)
	}
	test := append([]string{"test"}, flags...)
	if len(others) > 0 {
		_, err = goes(ctx, root, out, append(test, others...)...)
	}
	for path, mine := range by {
		var names []string
		for _, r := range mine {
			names = append(names, r.test)
		}
		_, failed := goes(ctx, root, out, append(test, "-skip", "^("+strings.Join(names, "|")+")$", path)...)
		err = errors.Join(err, failed)
	}
	for path, mine := range by {
		for _, r := range mine {
			outcome := "fails, as known"
			if _, failed := goes(ctx, root, io.Discard, append(test, "-run", "^"+r.test+"$", path)...); failed == nil {
				outcome = "passes now: take its line out"
			}
			fmt.Fprintf(out, "known red: %s.%s %s (issue %d: %s)\n", r.pkg, r.test, outcome, r.issue, r.cause)
		}
	}
	return err
}

var testName = regexp.MustCompile(`^(?:(.+)\.)?(Test\w*)$`)

// read takes the file of known faults; one that is not there names none.
func read(path string) (reds []red, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(strings.TrimRight(string(raw), "\n"), "\n") {
		f := strings.Split(line, "|")
		if len(f) != 3 {
			return nil, fmt.Errorf("%s:%d: %q: want TEST | CAUSE | ISSUE", listName, i+1, line)
		}
		name, cause := testName.FindStringSubmatch(strings.TrimSpace(f[0])), strings.TrimSpace(f[1])
		issue, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(f[2]), "#"))
		if name == nil || cause == "" || err != nil || issue <= 0 {
			return nil, fmt.Errorf("%s:%d: %q: want TEST | CAUSE | ISSUE", listName, i+1, line)
		}
		r := red{name[1], name[2], cause, issue}
		if slices.ContainsFunc(reds, func(x red) bool { return x.pkg == r.pkg && x.test == r.test }) {
			return nil, fmt.Errorf("%s:%d: %s stands there twice", listName, i+1, strings.TrimSpace(f[0]))
		}
		if reds = append(reds, r); len(reds) > mostRed {
			return nil, fmt.Errorf("%s: more than %d lines", listName, mostRed)
		}
	}
	return reds, nil
}

// goes runs the go command at root and returns what it prints, which goes to out as it comes.
func goes(ctx context.Context, root string, out io.Writer, args ...string) (string, error) {
	var text strings.Builder
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, io.MultiWriter(&text, out), os.Stderr
	if err := cmd.Run(); err != nil {
		return text.String(), fmt.Errorf("go %s: %w", args[0], err)
	}
	return text.String(), nil
}
