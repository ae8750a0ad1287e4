package classes

import "sync/atomic"

// Source hands out the table in force. It is safe for concurrent use.
type Source struct{ current atomic.Pointer[Table] }

// NewSource returns a source whose current table is t.
func NewSource(t *Table) *Source {
	s := &Source{}
	s.current.Store(t)
	return s
}

// Table returns the table in force. A caller uses it for one decision, or for one request, and does
// not keep it.
func (s *Source) Table() *Table { return s.current.Load() }

// Replace puts a table into force. The core must have the classes of t already.
func (s *Source) Replace(t *Table) { s.current.Store(t) }
