package lab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
)

func gigabytes(n uint64) string { return fmt.Sprintf("%.2f GB", float64(n)/1e9) }

// estimateMemory estimates the bytes that a run uses, including garbage, from slopes measured on
// small runs: per dispatcher its list, its rows of the other dispatchers and its state of functions
// from its own calls and from messages; the leaders' state of all dispatchers; open calls; and the
// simulated world. It is only an estimate: checkMemory checks the run itself.
func (s *HollowSize) estimateMemory() uint64 {
	d, e, long := float64(s.Dispatchers), float64(s.Executors), (s.Warm + s.Span).Seconds()
	slow, first := 0.0, s.Calls // s of the warm-up at WarmCalls, and its call rate
	if s.WarmCalls > 0 {
		slow, first = max(0, s.Warm-hollowRampUp).Seconds(), s.WarmCalls
	}
	known := 0.0 // functions of its own calls, and pairs from messages, which calls pay for
	for _, x := range [][2]float64{{slow, first}, {long - slow, s.Calls}} {
		known += x[0] * (x[1] + min(10*(3+e/8), 30*x[1]))
	}
	known = min(known, float64(s.Functions))
	each := 30e3 + 1200*e + 150*d + 250*known + 3000*s.Calls
	return uint64(1.5*(d*each+long*e*d*10) + 100e6)
}

// machineMemory returns the machine's memory in bytes.
func machineMemory() (uint64, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(raw) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == "MemTotal:" {
			kb, err := strconv.ParseUint(string(f[1]), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no MemTotal in /proc/meminfo")
}

// resident returns the resident memory of this process in bytes; 0 if unknown.
func resident() uint64 {
	raw, _ := os.ReadFile("/proc/self/statm")
	if f := bytes.Fields(raw); len(f) > 1 {
		n, _ := strconv.ParseUint(string(f[1]), 10, 64)
		return n * uint64(os.Getpagesize())
	}
	return 0
}
