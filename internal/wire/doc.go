// Package wire reads and writes the simulator's line protocol and the settings of a deployment. Types and
// fields carry the names of the wire.
package wire
