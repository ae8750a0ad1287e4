package lab

import "context"

// Experiment is an experiment of this package.
type Experiment struct {
	Name, Short string
	Run         func(context.Context, Options) (*Report, error)
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		{"kept-list", "All dispatchers restart from lists of several ages while discovery is down", CachedList},
		{"kept-size", "The restart of kept-list in virtual time, over the size of the fleet", CachedListSizes},
		{"fleet", "Many dispatchers in virtual time while boxes are replaced or a zone is lost", Fleet},
		{"comeback", "Ways between processes are cut and come back, with the program before and after", Comeback},
		{
			Name: "mesh",
			Short: "Tenants' shares while parts of the fleet do not hear each other, " +
				"with the program before and after",
			Run: RunMesh,
		},
		{
			Name: "verdicts",
			Short: "Boxes that fail, are slow, die or are out of reach for some, " +
				"with the program before and after",
			Run: RunOutliers,
		},
		{
			Name: "turns",
			Short: "What one dispatcher does for all while others die, stand still, are cut off or come later, " +
				"before and after",
			Run: RunTurns,
		},
		{
			Name: "capacity",
			Short: "Hollow dispatchers in virtual time: what each costs over each size, " +
				"the largest size foretold and then run",
			Run: RunCapacity,
		},
	}
}
