// Package loganalysis counts over the debug logs of an entire fleet what no single dispatcher shows:
// many dispatchers that choose the same worker at once, loads of a model that another worker had
// loaded already, and how long a worker is used after its first failure.
//
// Lines that cannot be read are counted and skipped.
package loganalysis
