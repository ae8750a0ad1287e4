package leader

// IsMember reports whether other dispatchers consider this dispatcher alive: a digest of the last
// aliveTerms terms covers it, or this dispatcher is isolated.
func (e *Elector) IsMember(now int64) bool { return e.aliveUntil[e.self] > now || e.Isolated(now) }

// IsSuccessor reports whether this dispatcher is among the first k alive dispatchers on the circle
// of indices, starting at position modulo their number. It replaces Assigned for tasks that are so
// numerous that computing the weights of all dispatchers for each would cost too much. When a
// dispatcher joins or leaves, only tasks of its neighbors on the circle are reassigned. A
// dispatcher that is not a member (see IsMember) has no tasks.
func (e *Elector) IsSuccessor(now int64, position uint64, k int) bool {
	if !e.IsMember(now) {
		return false
	}
	count, isolated := len(e.aliveUntil), e.Isolated(now)
	first := int(position % uint64(count))
	for step := range count {
		i := (first + step) % count
		if i == e.self {
			return true
		}
		if isolated || e.aliveUntil[i] > now {
			k--
		}
		if k <= 0 {
			return false
		}
	}
	return false
}
