package daemon

import (
	"fmt"

	"oakthread"
	"oakthread/admin"
	"oakthread/balancer"
	"oakthread/internal/platform"
)

// classUpdater applies the classes and the number of attempts of a reloaded configuration to the
// core, the server and the workers. It is not safe for concurrent use.
type classUpdater struct {
	core    *oakthread.Core
	server  *platform.Server
	workers *platform.ExecutorPool
	classes admin.Classes
}

// newClassUpdater returns a classUpdater whose current classes are those of cfg.
func newClassUpdater(
	cfg *platform.Config, core *oakthread.Core, server *platform.Server, workers *platform.ExecutorPool,
) *classUpdater {
	names, classes := configuredClasses(cfg)
	return &classUpdater{core: core, server: server, workers: workers, classes: admin.NewClasses(names, classes)}
}

// configuredClasses returns the names and the classes of a configuration; class i has names[i].
func configuredClasses(cfg *platform.Config) (names []string, classes []balancer.Class) {
	for _, category := range cfg.Settings.Categories {
		names = append(names, category.Name)
	}
	return names, cfg.Settings.BalancerSettings().Classes
}

// apply applies the classes and the maximum number of attempts of cfg. Requests in flight keep their
// class; the number of attempts changes for them as well.
func (u *classUpdater) apply(cfg *platform.Config) error {
	added, numbers := u.classes.Compare(configuredClasses(cfg))
	if len(added) > 0 {
		// AddClasses adds all classes or none, so the class numbers of the core and of u.classes
		// stay identical.
		if _, err := u.core.AddClasses(added); err != nil {
			return fmt.Errorf("settings: classes: %w", err)
		}
	}
	u.classes.Apply(added, numbers)
	u.workers.SetClasses(u.classes.NamesByNumber())
	u.server.SetClasses(u.classes.NumbersByName())
	u.core.SetMaxAttempts(cfg.Settings.Permissions.SendCap)
	return nil
}
