package admin

import (
	"slices"

	"oakthread/balancer"
)

// Classes is the table of request classes across reloads of the settings. A class is identified by
// its number, and numbers are never removed. A class whose rules change in a reload gets a new
// number, so that requests in flight keep the rules that they started with, and a class that is
// dropped keeps its number for those requests. The zero value has no classes.
type Classes struct {
	numbers map[string]int   // of the current classes, by name
	rules   []balancer.Class // by number
	names   []string         // by number
}

// NewClasses returns the initial table. Class number i has the name names[i] and the rules
// rules[i].
func NewClasses(names []string, rules []balancer.Class) Classes {
	c := Classes{
		numbers: make(map[string]int, len(names)),
		rules:   slices.Clone(rules),
		names:   slices.Clone(names),
	}
	for i, name := range names {
		c.numbers[name] = i
	}
	return c
}

// Compare compares the classes of reloaded settings with the table, without changing it. added are
// the new or changed classes, which get the numbers from Len on, in order; numbers is the new table
// of numbers by name. Apply puts both into effect.
func (c *Classes) Compare(names []string, rules []balancer.Class) (added []balancer.Class, numbers map[string]int) {
	numbers = make(map[string]int, len(names))
	for i, name := range names {
		if number, ok := c.numbers[name]; ok && c.rules[number] == rules[i] {
			numbers[name] = number
			continue
		}
		numbers[name] = len(c.rules) + len(added)
		added = append(added, rules[i])
	}
	return added, numbers
}

// Apply puts the results of Compare into effect.
func (c *Classes) Apply(added []balancer.Class, numbers map[string]int) {
	c.names = append(c.names, make([]string, len(added))...)
	for name, number := range numbers {
		if number >= len(c.rules) {
			c.names[number] = name
		}
	}
	c.rules = append(c.rules, added...)
	c.numbers = numbers
}

// NamesByNumber returns a copy of the class names, indexed by number. It includes dropped classes,
// whose names the request paths to workers still need.
func (c *Classes) NamesByNumber() []string { return slices.Clone(c.names) }

// Len returns the number of class numbers in the table, including those of dropped classes.
func (c *Classes) Len() int { return len(c.rules) }

// NumbersByName returns the number of each current class by name. The caller must not modify the
// map.
func (c *Classes) NumbersByName() map[string]int { return c.numbers }
