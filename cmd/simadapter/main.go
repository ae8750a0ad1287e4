// Command simadapter runs balancers inside the simulator: it reads the simulator's events from
// standard input, one JSON object per line, and writes the actions of the balancers to standard
// output.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
