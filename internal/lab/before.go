package lab

// The earlier version that an experiment compares the program with: built from an older commit of
// this repository, in the directory of the run. The work tree is not changed.

import (
	"archive/tar"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// CurrentProgram returns the current program: the file dispatcher in the directory of this
// executable.
func CurrentProgram() (Program, error) {
	self, err := os.Executable()
	if err != nil {
		return Program{}, err
	}
	path := filepath.Join(filepath.Dir(self), "dispatcher")
	if _, err := os.Stat(path); err != nil {
		return Program{}, fmt.Errorf("the program to run: %w (make build puts it beside testbed)", err)
	}
	return Program{Path: path, Args: []string{"serve"}}, nil
}

// programPair returns the program of an earlier version (options.Before, or else commit) and the
// current one.
func programPair(ctx context.Context, options Options, commit string) (programs [2]Program, err error) {
	if options.Before != "" {
		commit = options.Before
	}
	if programs[0], err = EarlierProgram(ctx, ".", options.Dir, commit); err != nil {
		return programs, err
	}
	programs[1], err = CurrentProgram()
	return programs, err
}

// EarlierProgram returns the program of an earlier version. what is the path of a program file, or
// a commit of the repository at root, which is built under dir.
func EarlierProgram(ctx context.Context, root, dir, what string) (Program, error) {
	if info, err := os.Stat(what); err == nil && !info.IsDir() {
		path, err := filepath.Abs(what)
		return Program{Path: path, Args: []string{"serve"}}, err
	}
	src := filepath.Join(dir, "before")
	git := exec.CommandContext(ctx, "git", "-C", root, "archive", "--format=tar", what)
	var said strings.Builder
	git.Stderr = &said
	out, err := git.StdoutPipe()
	if err != nil {
		return Program{}, err
	}
	if err := git.Start(); err != nil {
		return Program{}, fmt.Errorf("commit %s: %w", what, err)
	}
	previous := unpack(out, src)
	_, _ = io.Copy(io.Discard, out)
	if err := git.Wait(); err != nil {
		return Program{}, fmt.Errorf("commit %s: %w: %s", what, err, strings.TrimSpace(said.String()))
	}
	if previous != nil {
		return Program{}, fmt.Errorf("commit %s: %w", what, previous)
	}
	path := filepath.Join(dir, "oakthread-before")
	source := "./cmd/dispatcher"
	if _, err := os.Stat(filepath.Join(src, "cmd", "dispatcher")); err != nil {
		source = "./cmd/oakthread" // the directory's name in commits before the package rename
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", path, source)
	build.Dir = src
	if text, err := build.CombinedOutput(); err != nil {
		return Program{}, fmt.Errorf("building commit %s: %w: %s", what, err, strings.TrimSpace(string(text)))
	}
	return Program{Path: path, Args: []string{"serve"}}, nil
}

// unpack writes the regular files of a tar archive below dir, except those of the journal. Entries
// whose path would lead out of dir are skipped.
func unpack(in io.Reader, dir string) error {
	for r := tar.NewReader(in); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Typeflag != tar.TypeReg || !filepath.IsLocal(h.Name) || strings.HasPrefix(h.Name, "journal/") {
			continue
		}
		path := filepath.Join(dir, h.Name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		if _, err := io.Copy(f, r); err != nil {
			return errors.Join(err, f.Close())
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
}

// comparison is an experiment that runs the program before and after a change.
type comparison[T any] struct {
	name, note, before string // note: besides sizes and commit; before: the commit
	sizes              []int  // dispatchers
	seeds              int
	faults             []string
	run                func(net *LoopbackRange, dir, fault string, size RigConfig) (*T, error) // one arm
	report             func(rep *Report, name, fault string, pair [2]*T)
}

// runAll runs every fault at every size with every seed, with both programs at the same
// time, each fleet in its own address range.
func (v comparison[T]) runAll(ctx context.Context, options Options) (*Report, error) {
	faults, err := options.pick(v.faults)
	if err != nil {
		return nil, err
	}
	programs, err := programPair(ctx, options, v.before)
	if err != nil {
		return nil, err
	}
	net, err := ClaimLoopbackRange()
	if err != nil {
		return nil, err
	}
	defer net.Close()
	rep := &Report{Name: v.name, Seed: options.Seed, Arms: []string{"before", "after"}, Note: fmt.Sprintf(
		"%d dispatchers (processes), %s; before: commit %s; seeds from %d on", v.sizes, v.note,
		cmp.Or(options.Before, v.before), options.Seed)}
	for _, n := range v.sizes {
		for i, fault := range faults {
			for s := range v.seeds {
				seed := options.Seed + uint64(s)
				name := fmt.Sprintf("%d, seed %d, %s: ", n, seed, fault)
				options.Log("%s", name)
				pair, err := runBothArms(func(arm int) (*T, error) {
					return v.run(net, filepath.Join(options.Dir, fmt.Sprintf("%d-%d-%d-%d", n, i, s, arm)), fault,
						RigConfig{Dispatchers: n, Program: programs[arm], AddrGroup: arm, Seed: seed})
				})
				if err != nil {
					return nil, fmt.Errorf("%s%w", name, err)
				}
				v.report(rep, name, fault, pair)
			}
		}
	}
	return rep, nil
}

// runBothArms runs both arms of an experiment at the same time.
func runBothArms[T any](run func(arm int) (*T, error)) (pair [2]*T, err error) {
	errs := make(chan error, len(pair))
	for arm := range pair {
		go func() {
			var err error
			if pair[arm], err = run(arm); err != nil {
				err = fmt.Errorf("program %d: %w", arm, err)
			}
			errs <- err
		}()
	}
	return pair, errors.Join(<-errs, <-errs)
}
