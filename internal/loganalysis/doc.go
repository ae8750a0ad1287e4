// Package loganalysis analyzes the debug logs of an entire fleet for effects that the log of a
// single dispatcher does not show: many dispatchers that choose the same worker at once, loads of a
// model that another worker had already loaded, and how long a worker is used after its first
// failure.
//
// Lines that cannot be read are counted and skipped.
package loganalysis
