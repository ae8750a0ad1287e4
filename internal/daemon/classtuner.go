package daemon

import (
	"fmt"

	"oakthread"
	"oakthread/admin"
	"oakthread/balancer"
	"oakthread/internal/platform"
)

// classTuner applies the classes and the number of attempts of a reloaded configuration to the
// core, the server and the workers. It is not safe for concurrent use.
type classTuner struct {
	core    *oakthread.Core
	server  *platform.Server
	workers *platform.ExecutorPool
	classes admin.Classes
}

// newClassTuner returns a tuner for the classes in force, those of cfg.
func newClassTuner(
	cfg *platform.Config, core *oakthread.Core, server *platform.Server, workers *platform.ExecutorPool,
) *classTuner {
	names, classes := configuredClasses(cfg)
	return &classTuner{core: core, server: server, workers: workers, classes: admin.NewClasses(names, classes)}
}

// configuredClasses returns the classes of a configuration and their names, by index.
func configuredClasses(cfg *platform.Config) (names []string, classes []balancer.Class) {
	for _, category := range cfg.Settings.Categories {
		names = append(names, category.Name)
	}
	return names, cfg.Settings.BalancerSettings().Classes
}

// apply puts the classes and the number of attempts of cfg in force: new requests take them, those
// in flight keep theirs.
func (t *classTuner) apply(cfg *platform.Config) error {
	added, names := t.classes.Compare(configuredClasses(cfg))
	if len(added) > 0 {
		// The core adds all or none, so that its numbers and those of the table stay the same.
		if _, err := t.core.AddClasses(added); err != nil {
			return fmt.Errorf("settings: classes: %w", err)
		}
	}
	t.classes.Apply(added, names)
	t.workers.SetClasses(t.classes.NamesByNumber())
	t.server.SetClasses(t.classes.NumbersByName())
	t.core.SetMaxAttempts(cfg.Settings.Permissions.SendCap)
	return nil
}
