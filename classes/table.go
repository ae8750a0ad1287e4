// Package classes holds the classes of requests that are in force: an immutable Table for each
// version of the settings, and a Source from which every part of a dispatcher reads the current one.
// A part that kept classes of its own would act on old rules after a reload.
//
// It has no I/O, clock or goroutine.
package classes

import (
	"maps"
	"slices"
	"time"

	"oakthread/balancer"
)

// Definition is a class as the settings define it.
type Definition struct {
	Name  string
	Rules balancer.Class
}

// Class is a class under the number by which requests, the core and the balancer refer to it.
type Class struct {
	Definition
	Number int
}

// Table is one version of the classes. It does not change. A class is identified by its number, and
// numbers are never removed: a class whose rules a reload changes gets a new number, so that requests
// in flight keep the rules that they started with, and a class that is dropped keeps its number for
// those requests.
type Table struct {
	version  int
	byName   map[string]int // numbers of the classes in force
	byNumber []Class
}

// New returns version 1 of the table. The class definitions[i] has the number i.
func New(definitions []Definition) *Table {
	t, _ := (&Table{}).Next(definitions)
	return t
}

// Next returns the version of the table that follows t once the settings define the given classes.
// added are the rules of the new or changed classes, which get the numbers from t.Len on, in order.
func (t *Table) Next(definitions []Definition) (next *Table, added []balancer.Class) {
	next = &Table{
		version:  t.version + 1,
		byName:   make(map[string]int, len(definitions)),
		byNumber: slices.Clone(t.byNumber),
	}
	for _, definition := range definitions {
		number, ok := t.byName[definition.Name]
		if !ok || t.byNumber[number].Rules != definition.Rules {
			number = len(next.byNumber)
			next.byNumber = append(next.byNumber, Class{definition, number})
			added = append(added, definition.Rules)
		}
		next.byName[definition.Name] = number
	}
	return next, added
}

// Version returns the number of this version, from 1 on.
func (t *Table) Version() int { return t.version }

// Len returns the number of class numbers in use, including those of replaced and dropped classes.
func (t *Table) Len() int { return len(t.byNumber) }

// Lookup returns the class that is in force under a name, for a new request. ok is false if there is
// none.
func (t *Table) Lookup(name string) (class Class, ok bool) {
	number, ok := t.byName[name]
	if !ok {
		return Class{}, false
	}
	return t.byNumber[number], true
}

// InForce returns the classes in force, by ascending number.
func (t *Table) InForce() []Class {
	inForce := make([]Class, 0, len(t.byName))
	for _, number := range slices.Sorted(maps.Values(t.byName)) {
		inForce = append(inForce, t.byNumber[number])
	}
	return inForce
}

// Numbered returns the class with a number, which may have been replaced or dropped since. ok is
// false if the number is not in use.
func (t *Table) Numbered(number int) (class Class, ok bool) {
	if number < 0 || number >= len(t.byNumber) {
		return Class{}, false
	}
	return t.byNumber[number], true
}

// LongestTimeout returns the longest client timeout of the classes in force.
func (t *Table) LongestTimeout() time.Duration {
	var longest time.Duration
	for _, class := range t.InForce() {
		longest = max(longest, time.Duration(class.Rules.ClientTimeout))
	}
	return longest
}
