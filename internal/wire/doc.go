// Package wire decodes the events and encodes the actions of the simulator's line protocol, and
// decodes the settings of a deployment. Types and fields take their names from the
// wire.
package wire
