package admin

// This file owns the table of classes across reloads of the settings: which name stands for which class number.
// It must never renumber a class that requests may hold, nor choose anything for a request.

import "oakthread/balancer"

// Classes is the table of classes by name. Numbers only grow: a class whose rules change at a reload gets a new
// number, so that requests in hand keep the old rules, and a dropped class keeps its number for those requests.
// Its zero value has no class.
type Classes struct {
	names  map[string]int
	rules  []balancer.Class // by number
	called []string         // the name of each number
}

// NewClasses is the table at start: class i is named names[i].
func NewClasses(names []string, rules []balancer.Class) Classes {
	c := Classes{names: make(map[string]int, len(names)), rules: append([]balancer.Class(nil), rules...),
		called: append([]string(nil), names...)}
	for i, n := range names {
		c.names[n] = i
	}
	return c
}

// Retune compares the settings of a reload with the table. added are the classes to be taken, in order, which get
// the numbers from Len on; names is the table of names once they are. The table itself changes only by Take.
func (c *Classes) Retune(names []string, rules []balancer.Class) (added []balancer.Class, next map[string]int) {
	next = make(map[string]int, len(names))
	n := len(c.rules)
	for i, name := range names {
		if at, ok := c.names[name]; ok && c.rules[at] == rules[i] {
			next[name] = at
			continue
		}
		added = append(added, rules[i])
		next[name] = n
		n++
	}
	return added, next
}

// Take puts in force what Retune gave, once the module has the added classes.
func (c *Classes) Take(added []balancer.Class, next map[string]int) {
	c.called = append(c.called, make([]string, len(added))...)
	for name, n := range next {
		if n >= len(c.rules) {
			c.called[n] = name
		}
	}
	c.rules = append(c.rules, added...)
	c.names = next
}

// Called names every number, dropped ones among them, as the executors' paths need it.
func (c *Classes) Called() []string { return append([]string(nil), c.called...) }

// Len is the number of classes, dropped ones among them.
func (c *Classes) Len() int { return len(c.rules) }

// Names is the table of names in force; it must not be changed.
func (c *Classes) Names() map[string]int { return c.names }
