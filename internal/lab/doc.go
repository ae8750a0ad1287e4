// Package lab is the project's laboratory: stand-ins for discovery and planner workers, a load of
// open-loop clients, checkers of the rules, and experiments that compare the program with
// baselines. It uses loopback addresses only, and measures a dispatcher by what workers, clients
// and the kernel see of it.
package lab
