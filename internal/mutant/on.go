//go:build mutants

package mutant

import "os"

// variable names the planted fault.
const variable = "OAKTHREAD_MUTANT"

var planted = Name(os.Getenv(variable))

// On reports whether a fault is planted.
func On(n Name) bool { return n == planted }
