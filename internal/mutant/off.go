//go:build !mutants

package mutant

// On always returns false: no fault is injected without the tag mutants.
func On(Name) bool { return false }
