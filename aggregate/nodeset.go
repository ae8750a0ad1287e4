package aggregate

import "math/bits"

// NodeSet is a set of dispatcher indices, stored as a bitmap. The lowest bit of the first byte is
// index 0. The zero value is empty and has a capacity of 0.
type NodeSet []byte

// NewNodeSet returns an empty set with capacity for the indices below n.
func NewNodeSet(n int) NodeSet { return make(NodeSet, setBytes(n)) }

// setBytes returns the length in bytes of a set with capacity for the indices below n.
func setBytes(n int) int { return (n + 7) / 8 }

// fullSet returns the set of all indices below n.
func fullSet(n int) NodeSet {
	s := NewNodeSet(n)
	for i := range s {
		s[i] = 0xff
	}
	if n%8 > 0 {
		s[len(s)-1] = 1<<(n%8) - 1
	}
	return s
}

// Add adds index i. It panics if i exceeds the capacity of the set.
func (s NodeSet) Add(i int) { s[i/8] |= 1 << (i % 8) }

// Has reports whether index i, which may be any number, is in the set.
func (s NodeSet) Has(i int) bool { return i >= 0 && i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0 }

// Len returns the number of indices in the set.
func (s NodeSet) Len() (n int) {
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// hasBeyond reports whether the set contains an index of n or more.
func (s NodeSet) hasBeyond(n int) bool {
	for i := n; i < 8*len(s); i++ {
		if s.Has(i) {
			return true
		}
	}
	return false
}
