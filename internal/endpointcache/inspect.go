package endpointcache

import (
	"errors"
	"fmt"
	"os"

	"oakthread/balancer"
)

// snapshotTries is the number of attempts to copy a file between two writes of its owner.
const snapshotTries = 5

// errChangedWhileCopied is the error of a copy that may mix two versions of the file.
var errChangedWhileCopied = errors.New("it was written meanwhile")

// Check reads every record of the file and returns a line for each fault. The database's own check
// is not used: it runs on a goroutine where a panic over a torn page cannot be recovered.
func Check(path string) (faults []string, err error) {
	found, err := Read(path, "")
	if err != nil {
		return nil, err
	}
	if found.CorruptRecords > 0 {
		faults = append(faults, fmt.Sprintf("%d records fail their checksum", found.CorruptRecords))
	}
	byAddr := map[string]balancer.WorkerID{}
	for _, endpoint := range found.Snapshot.Endpoints {
		if other, isDuplicate := byAddr[endpoint.Addr]; isDuplicate && endpoint.Addr != "" {
			faults = append(faults, fmt.Sprintf("boxes s-%08x and s-%08x have one address, %s",
				uint32(other), uint32(endpoint.ID), endpoint.Addr))
		}
		byAddr[endpoint.Addr] = endpoint.ID
	}
	return faults, nil
}

// ReadShared reads a file that a dispatcher may have open, from a copy made while nothing was
// written. It changes nothing.
func ReadShared(path string) (Contents, error) {
	found, err := Read(path, "")
	if !errors.Is(err, ErrInUse) {
		return found, err
	}
	for range snapshotTries {
		if found, err = readCopy(path); err == nil {
			return found, nil
		}
	}
	return found, fmt.Errorf("list file %s: no copy of it is whole, it is written all the time: %w", path, err)
}

// readCopy reads a temporary copy of the file. It fails if the file was written while it was
// copied.
func readCopy(path string) (Contents, error) {
	raw, err := readUnchanged(path)
	if err != nil {
		return Contents{}, err
	}
	temporary, err := os.CreateTemp("", "oakthread-list-*")
	if err != nil {
		return Contents{}, err
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(raw)
	if err = errors.Join(err, temporary.Close()); err != nil {
		return Contents{}, err
	}
	return Read(temporary.Name(), "")
}

// readUnchanged reads a file that has the same size and time of change before and after.
func readUnchanged(path string) ([]byte, error) {
	before, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	after, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !before.ModTime().Equal(after.ModTime()) || before.Size() != after.Size() {
		return nil, errChangedWhileCopied
	}
	return raw, nil
}
