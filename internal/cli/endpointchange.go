package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"oakthread/balancer"
	"oakthread/endpoints"
	"oakthread/internal/endpointcache"
)

// importEndpoints replaces the list in the file at path by the exported one in the file at
// jsonPath. If owner is empty, the list keeps the owner that it was exported with.
func importEndpoints(out io.Writer, path, jsonPath, owner string) error {
	raw, err := os.ReadFile(jsonPath)
	if err != nil {
		return fmt.Errorf("import: %w", err)
	}
	var list endpointList
	if err := json.Unmarshal(raw, &list); err != nil {
		return fmt.Errorf("import: %s: %w", jsonPath, err)
	}
	if owner == "" {
		owner = list.Owner
	}
	snapshot, err := list.snapshot()
	if err != nil {
		return fmt.Errorf("import: %s: %w", jsonPath, err)
	}
	replace := func(endpoints.Snapshot) endpoints.Snapshot { return snapshot }
	if err := rewriteEndpoints(path, owner, replace); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s holds %d boxes for dispatcher %s\n", path, len(snapshot.Endpoints), owner)
	return nil
}

// forgetEndpoints removes the named workers from the list in the file at path; without names, all
// workers and the position in the discovery stream, so that discovery sends the list in full.
func forgetEndpoints(out io.Writer, path string, names []string) error {
	found, err := endpointcache.Read(path, "")
	if err != nil {
		return err
	}
	removed, err := findWorkers(path, found.Snapshot, names)
	if err != nil {
		return err
	}
	count := 0
	err = rewriteEndpoints(path, found.Owner, func(snapshot endpoints.Snapshot) endpoints.Snapshot {
		before := len(snapshot.Endpoints)
		if len(names) == 0 {
			snapshot.Endpoints, snapshot.Cursor, snapshot.Epoch = nil, 0, ""
		} else {
			snapshot.Endpoints = slices.DeleteFunc(snapshot.Endpoints, func(e endpoints.Endpoint) bool {
				return removed[e.ID]
			})
		}
		count = before - len(snapshot.Endpoints)
		return snapshot
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d boxes forgotten\n", count)
	return nil
}

// findWorkers returns the ids of the named workers. It returns a usage error for a name that is not
// a worker id, and an error for a worker that is not in the list.
func findWorkers(path string, snapshot endpoints.Snapshot, names []string) (map[balancer.WorkerID]bool, error) {
	ids := map[balancer.WorkerID]bool{}
	for _, name := range names {
		id, err := parseWorkerID(name)
		if err != nil {
			return nil, usageError{err}
		}
		hasID := func(e endpoints.Endpoint) bool { return e.ID == id }
		if !slices.ContainsFunc(snapshot.Endpoints, hasID) {
			return nil, fmt.Errorf("list file %s: worker %s is not in the list", path, name)
		}
		ids[id] = true
	}
	return ids, nil
}

// rewriteEndpoints opens the file at path for owner, changes its list and closes it.
func rewriteEndpoints(path, owner string, change func(endpoints.Snapshot) endpoints.Snapshot) (err error) {
	store, found, err := endpointcache.Open(path, owner)
	if store != nil {
		defer func() { err = errors.Join(err, store.Close()) }()
	}
	if err != nil {
		return err
	}
	return store.Write(change(found.Snapshot))
}
