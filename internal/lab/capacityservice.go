package lab

import (
	"context"
	"fmt"
	"math"
	"strings"
)

// service compares, for busy fleets, the full scan of the list, the program's choice and two
// references: a single dispatcher of this program that gets all calls, and an omniscient router.
// The fleets' workers are small, short of memory and empty at the start, so that the cost of a bad
// choice is visible.
func (c *capacity) service(ctx context.Context) error {
	for _, s := range c.plan.service {
		name := fmt.Sprintf("service, %d dispatchers, %d executors: ", s.dispatchers, s.executors)
		var figures []map[string]float64 // by arm
		for _, of := range serviceArms() {
			means, err := c.serviceArm(ctx, s, name, of)
			if err != nil {
				return err
			}
			figures = append(figures, means)
		}
		c.reportService(name, figures)
	}
	return nil
}

// serviceArm runs one arm of a busy fleet with each seed and returns the means of its figures.
func (c *capacity) serviceArm(ctx context.Context, s serviceFleet, name, of string) (map[string]float64, error) {
	dispatchers, walk := s.dispatchers, s.scanLimit
	switch of {
	case fullScan:
		walk = math.MaxInt
	case oneDispatcher:
		dispatchers = 1
	}
	var runs []map[string]float64
	for _, seed := range c.plan.seeds {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		result, k, err := serviceSim(fleetFigures(), dispatchers, s.executors, walk, of == omniscient, seed)
		if err != nil {
			return nil, fmt.Errorf("capacity: service: %w", err)
		}
		runs = append(runs, k.figures(result))
		c.o.Log("%s%s, seed %d: worth %.4f, unserved %.4f; %s", name, of, seed, result.service, result.unserved, k)
		if of != omniscient {
			bound := fmt.Sprintf("%s%s, seed %d: %s", name, of, seed, allBreaches)
			c.rep.AtMost(bound, float64(result.twice+result.late+result.collapsed+result.openCalls), 0)
		}
		if s.dispatchers >= singleSeedDispatchers {
			break
		}
	}
	means := map[string]float64{}
	for _, f := range serviceRows() {
		means[f.name] = meanOf(runs, f.name)
	}
	return means, nil
}

// reportService adds the rows and bounds of a busy fleet from the figures of its arms.
func (c *capacity) reportService(name string, figures []map[string]float64) {
	for _, f := range serviceRows() {
		c.rep.Row(name+f.name, f.unit, figures[0][f.name], figures[1][f.name])
	}
	value := func(arm int) float64 { return figures[arm][valueInTime] }
	for arm, of := range serviceArms() {
		if arm > 1 {
			c.rep.Row(name+valueInTime+", "+of, "of that asked", math.NaN(), value(arm))
		}
	}
	c.rep.AtLeast(name+"worth less that of the whole walk", value(1)-value(0), -valueTolerance)
	c.rep.AtLeast(name+"worth less that of one dispatcher with all calls", value(1)-value(2), -oneDispatcherTolerance)
}

// allBreaches is the name of the bound on the sum of all rule violations.
const allBreaches = "path-books twice, late sends, boxes pushed over, calls without an end"

// The arms of a busy fleet; the last two are references.
const (
	fullScan      = "whole walk"
	oursArm       = "ours"
	oneDispatcher = "one dispatcher with all calls"
	omniscient    = "an omniscient router"
)

func serviceArms() []string { return []string{fullScan, oursArm, oneDispatcher, omniscient} }

const (
	singleSeedDispatchers  = 1_000 // dispatchers from which a busy fleet is run with the first seed only
	oneDispatcherTolerance = 0.1   // by how much weighted value may fall below that of one dispatcher
	valueInTime            = "worth in time"
)

// faults runs each fault in a large fleet, and one run without a fault.
func (c *capacity) faults(ctx context.Context) error {
	for _, fault := range append([]string{""}, HollowFaults()...) {
		size := c.plan.faults
		size.Fault = fault
		f, err := c.run(ctx, faultsSection, size, c.plan.seeds[0])
		if err != nil {
			return err
		}
		name := "fault: " + fault
		if fault == "" {
			name = "no fault"
		}
		for _, figure := range []string{
			"worth", "unserved", "digests", "bytes.in", "bytes.in.busiest", "cpu.busiest",
			"p99.cold", "acts.last",
		} {
			if y, ok := f[figure]; ok {
				c.rep.Row(name+": "+figure, "", math.NaN(), y)
			}
		}
		c.rep.AtMost(name+": "+allBreaches, f["twice"]+f["late"]+f["fallen"]+f["open"], 0)
	}
	return nil
}

// calibration adds the rows and bounds of Calibrate to the report.
func (c *capacity) calibration(ctx context.Context) error {
	r, err := Calibrate(ctx, c.o)
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	for _, row := range r.Rows {
		row.Name = "calibration, " + strings.Join(r.Arms, " and ") + ": " + row.Name
		c.rep.Rows = append(c.rep.Rows, row)
	}
	for _, b := range r.Bounds {
		b.Name = "calibration: " + b.Name
		c.rep.Bounds = append(c.rep.Bounds, b)
	}
	return nil
}
