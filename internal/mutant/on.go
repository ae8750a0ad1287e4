//go:build mutants

package mutant

import "os"

// variable is the environment variable that selects the fault.
const variable = "OAKTHREAD_MUTANT"

// injected is the fault selected for this process, empty for none.
var injected = Name(os.Getenv(variable))

// On reports whether a fault is injected into this process.
func On(n Name) bool { return n == injected }
