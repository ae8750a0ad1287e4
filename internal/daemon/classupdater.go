package daemon

import (
	"fmt"

	"oakthread"
	"oakthread/classes"
	"oakthread/internal/platform"
)

// classUpdater applies the classes and the number of attempts of a reloaded configuration. All parts
// of the daemon read the classes from its source. It is not safe for concurrent use.
type classUpdater struct {
	core   *oakthread.Core
	source *classes.Source
}

// apply applies the classes and the maximum number of attempts of cfg. Requests in flight keep their
// class; the number of attempts changes for them as well.
func (u *classUpdater) apply(cfg *platform.Config) error {
	next, added := u.source.Table().Next(cfg.Settings.ClassDefinitions())
	if len(added) > 0 {
		// AddClasses adds all classes or none, so the class numbers of the core and of the table stay
		// identical. The core has the classes before a part can name them.
		if _, err := u.core.AddClasses(added); err != nil {
			return fmt.Errorf("settings: classes: %w", err)
		}
	}
	u.source.Replace(next)
	u.core.SetMaxAttempts(cfg.Settings.Permissions.SendCap)
	return nil
}
