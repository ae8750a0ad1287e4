package lab

import "context"

// Experiment is one of the laboratory's.
type Experiment struct {
	Name, Short string
	Run         func(context.Context, Options) (*Report, error)
}

// Experiments lists them all.
func Experiments() []Experiment {
	return []Experiment{
		{"kept-list", "All dispatchers restart from lists of several ages while discovery is down", CachedList},
		{"kept-size", "The restart of kept-list in virtual time, over the size of the fleet", CachedListSizes},
		{"fleet", "Many dispatchers in virtual time while boxes are replaced or a zone is lost", Fleet},
		{"comeback", "Ways between processes are cut and come back, with the program before and after", Comeback},
		{
			"mesh", "Tenants' shares while parts of the fleet do not hear each other, " +
				"with the program before and after",
			RunMesh,
		},
		{
			"verdicts", "Boxes that fail, are slow, die or are out of reach for some, " +
				"with the program before and after",
			RunOutliers,
		},
		{"turns", "What one dispatcher does for all while others die, stand still, are cut off or come later, " +
			"before and after", RunTurns},
		{"capacity", "Hollow dispatchers in virtual time: what each costs over each size, the largest size foretold " +
			"and then run", RunCapacity},
	}
}
