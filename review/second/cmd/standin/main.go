// Command standin plays one case of the second review: it starts the dispatchers as processes and
// the stand-ins around them, and judges what clients, workers and operators see. It exits with 0 if
// the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"oakthread/review/second/rig"
)

// scene is one case. trouble says whether the disruption is played. It returns what broke the rule.
type scene func(root string, record *rig.Record, trouble bool) (broken []string, err error)

// scenes are the cases by name; the file of each adds it.
var scenes = map[string]scene{}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(scenes[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run scene, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := run(root, record, trouble)
	if err != nil {
		record.Logf("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return 2
	}
	slices.Sort(broken)
	for _, line := range broken {
		record.Logf("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	record.Logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
