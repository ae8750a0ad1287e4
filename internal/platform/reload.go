package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// configKeys lists the keys of a configuration: those at the top, of settings, of each section of settings, and of any
// class, as "settings.categories[].name".
func configKeys(raw []byte) []string {
	var top map[string]json.RawMessage
	if json.Unmarshal(raw, &top) != nil {
		return nil
	}
	keys := map[string]bool{}
	for k := range top {
		keys[k] = true
	}
	var set map[string]json.RawMessage
	if json.Unmarshal(top["settings"], &set) == nil {
		for k, v := range set {
			keys["settings."+k] = true
			var inner map[string]json.RawMessage
			if json.Unmarshal(v, &inner) == nil {
				for j := range inner {
					keys["settings."+k+"."+j] = true
				}
			}
			var list []map[string]json.RawMessage
			if json.Unmarshal(v, &list) == nil {
				for _, m := range list {
					for j := range m {
						keys["settings."+k+"[]."+j] = true
					}
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// Fits tells whether c, read at SIGHUP, may replace was: it holds every key that was held, each class has a
// deadline and a number of attempts above 0. The error names the file's key and value.
func (c *Config) Fits(was *Config) error {
	for _, k := range was.keys {
		if !slices.Contains(c.keys, k) {
			return fmt.Errorf("key %s is missing", k)
		}
	}
	aims, giveUps := slices.Contains(was.keys, "settings.categories[].aim_ns"),
		slices.Contains(was.keys, "settings.categories[].give_up_ns")
	for _, k := range c.Setup.Categories {
		if aims && k.Aim <= 0 {
			return fmt.Errorf("settings.categories %q: aim_ns %d is not above 0", k.Name, k.Aim)
		}
		if giveUps && k.GiveUp <= 0 {
			return fmt.Errorf("settings.categories %q: give_up_ns %d is not above 0", k.Name, k.GiveUp)
		}
	}
	if slices.Contains(was.keys, "settings.permissions.send_cap") && c.Setup.Permissions.SendCap <= 0 {
		return fmt.Errorf("settings.permissions.send_cap %d is not above 0", c.Setup.Permissions.SendCap)
	}
	return nil
}
