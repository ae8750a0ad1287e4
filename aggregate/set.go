package aggregate

import "math/bits"

// Set is a set of dispatchers by number, a bit each. The zero value is empty and holds none.
type Set []byte

// NewSet makes a set for numbers below n.
func NewSet(n int) Set { return make(Set, (n+7)/8) }

// allOf makes the set of all numbers below n.
func allOf(n int) Set {
	s := NewSet(n)
	for i := range s {
		s[i] = 0xff
	}
	if n%8 > 0 {
		s[len(s)-1] = 1<<(n%8) - 1
	}
	return s
}

// Add puts a number in.
func (s Set) Add(i int) { s[i/8] |= 1 << (i % 8) }

// Has tells whether a number is in.
func (s Set) Has(i int) bool { return i >= 0 && i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0 }

// Len counts.
func (s Set) Len() (n int) {
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}
