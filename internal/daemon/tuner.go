package daemon

import (
	"fmt"

	"oakthread"
	"oakthread/admin"
	"oakthread/balancer"
	"oakthread/internal/platform"
)

// tuner carries the classes and attempts of a reload to the core and the front.
type tuner struct {
	core    *oakthread.Core
	front   *platform.Server
	fleet   *platform.ExecutorPool
	classes admin.Classes
}

func newTuner(cfg *platform.Config, core *oakthread.Core, front *platform.Server, fleet *platform.ExecutorPool) *tuner {
	names, rules := classesOf(cfg)
	return &tuner{core: core, front: front, fleet: fleet, classes: admin.NewClasses(names, rules)}
}

func classesOf(cfg *platform.Config) (names []string, rules []balancer.Class) {
	for _, c := range cfg.Setup.Categories {
		names = append(names, c.Name)
	}
	return names, cfg.Setup.Decide().Classes
}

// retune puts the classes and the number of attempts of a reload in force: new requests take them, those in hand keep
// theirs. Called from one goroutine.
func (t *tuner) retune(cfg *platform.Config) error {
	added, next := t.classes.Retune(classesOf(cfg))
	if len(added) > 0 { // all or none: the numbers of the table and the module's stay one
		if _, err := t.core.AddClasses(added); err != nil {
			return fmt.Errorf("settings: classes: %w", err)
		}
	}
	t.classes.Take(added, next)
	t.fleet.Classes(t.classes.Called())
	t.front.Classes(t.classes.Names())
	t.core.SetMaxAttempts(cfg.Setup.Permissions.SendCap)
	return nil
}
