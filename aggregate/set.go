package aggregate

import "math/bits"

// NodeSet is a set of dispatchers by number, a bit each. The zero value is empty and holds none.
type NodeSet []byte

// NewSet makes a set for numbers below n.
func NewSet(n int) NodeSet { return make(NodeSet, (n+7)/8) }

// fullSet makes the set of all numbers below n.
func fullSet(n int) NodeSet {
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
func (s NodeSet) Add(i int) { s[i/8] |= 1 << (i % 8) }

// Has tells whether a number is in.
func (s NodeSet) Has(i int) bool { return i >= 0 && i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0 }

// Len counts.
func (s NodeSet) Len() (n int) {
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}
