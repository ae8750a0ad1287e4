package endpointcache

import (
	"errors"
	"fmt"
	"os"

	"oakthread/balancer"
)

// maxCopyAttempts is the number of attempts to copy a file while its owner may be writing to it.
const maxCopyAttempts = 5

// errChangedDuringCopy is the error of a copy that may contain parts of two versions of the file.
var errChangedDuringCopy = errors.New("written to while it was copied")

// Check reads every record of the file and returns a line for each fault. bbolt's own check is
// not used: it runs in a separate goroutine, where a panic on a torn page cannot be recovered.
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
			faults = append(faults, fmt.Sprintf("workers s-%08x and s-%08x have the same address, %s",
				uint32(other), uint32(endpoint.ID), endpoint.Addr))
		}
		byAddr[endpoint.Addr] = endpoint.ID
	}
	return faults, nil
}

// ReadShared reads a file that a dispatcher may have open. If one has, a copy is read that was made
// while the file did not change. The file itself is not changed.
func ReadShared(path string) (Contents, error) {
	found, err := Read(path, "")
	if !errors.Is(err, ErrInUse) {
		return found, err
	}
	for range maxCopyAttempts {
		if found, err = readCopy(path); err == nil {
			return found, nil
		}
	}
	return found, fmt.Errorf("list file %s: no consistent copy could be read: %w", path, err)
}

// readCopy reads a temporary copy of the file. It fails if the file changed while it was copied.
func readCopy(path string) (Contents, error) {
	raw, err := readConsistent(path)
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

// readConsistent reads a file. It fails with errChangedDuringCopy if the file's size or
// modification time is not the same after the read as before it.
func readConsistent(path string) ([]byte, error) {
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
		return nil, errChangedDuringCopy
	}
	return raw, nil
}
