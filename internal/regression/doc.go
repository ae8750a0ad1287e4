// Package regression fits how a measured value grows with a size. It selects the simplest of a few
// models that explains the points, and extrapolates to a size that was not part of the fit, so that
// the prediction can be compared with a measurement at that size.
//
// The tolerance of a prediction depends on the points of the fit alone. It does not widen for a
// point that is already known, so a prediction can fail.
package regression
