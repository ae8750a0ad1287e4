// Package lab is the project's test bed: stand-ins for discovery and planner workers, open-loop
// clients, checkers of the rules, and experiments that compare the program with baselines. It uses
// loopback addresses only, and judges a dispatcher by what workers, clients and the kernel observe,
// except where an experiment says otherwise.
package lab
