package admin

import (
	"slices"

	"oakthread/balancer"
)

// Classes is the table of request classes across reloads of the settings. A class is known by its
// number. Numbers are only added: a class whose rules change at a reload gets a new one, so that
// requests in flight keep the rules that they began with, and a class that is dropped keeps its
// number for those requests. The zero value has no class.
type Classes struct {
	numbers map[string]int   // of the classes in force, by name
	rules   []balancer.Class // by number
	names   []string         // by number
}

// NewClasses returns the table at the start: class i has the name names[i].
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

// Compare compares the settings of a reload with the table, without changing it. added are the new
// classes, which get the numbers from Len on, in order; numbers is the table of names with them.
// Both are put into force by the next method.
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

// Apply puts into force the result of a comparison.
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

// NamesByNumber returns the name of each number, of dropped classes too, as the paths to workers need
// them.
func (c *Classes) NamesByNumber() []string { return slices.Clone(c.names) }

// Len returns how many numbers there are, of dropped classes too.
func (c *Classes) Len() int { return len(c.rules) }

// NumbersByName returns the number of each class in force by its name. The caller must not change it.
func (c *Classes) NumbersByName() map[string]int { return c.numbers }
