//go:build mutants

package mutant

import "os"

// variable is the environment variable that names the planted fault.
const variable = "OAKTHREAD_MUTANT"

// planted is the fault that this process has.
var planted = Name(os.Getenv(variable))

// On reports whether a fault is planted.
func On(n Name) bool { return n == planted }
