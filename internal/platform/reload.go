package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// configKeys returns the sorted keys of a configuration file: those at the top level, in settings,
// in each section of settings, and in the objects of lists there, such as
// "settings.categories[].name".
func configKeys(raw []byte) []string {
	var top map[string]json.RawMessage
	if json.Unmarshal(raw, &top) != nil {
		return nil
	}
	keys := map[string]bool{}
	for key := range top {
		keys[key] = true
	}
	var settings map[string]json.RawMessage
	if json.Unmarshal(top["settings"], &settings) == nil {
		for key, value := range settings {
			keys["settings."+key] = true
			addSectionKeys(keys, "settings."+key, value)
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// addSectionKeys adds the keys of a section of the settings, which is an object or a list of
// objects.
func addSectionKeys(keys map[string]bool, path string, value json.RawMessage) {
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) == nil {
		for key := range object {
			keys[path+"."+key] = true
		}
	}
	var list []map[string]json.RawMessage
	if json.Unmarshal(value, &list) == nil {
		for _, object := range list {
			for key := range object {
				keys[path+"[]."+key] = true
			}
		}
	}
}

// CheckReload returns an error unless c, read on SIGHUP, may replace previous. c must have every
// key that previous has. Of the keys that previous has, aim_ns and give_up_ns of each class and
// send_cap, the limit on a call's attempts, must be above 0. An empty or truncated file is thus
// rejected. The error names the key and, if a value is at fault, the value.
func (c *Config) CheckReload(previous *Config) error {
	for _, key := range previous.keys {
		if !slices.Contains(c.keys, key) {
			return fmt.Errorf("key %s is missing", key)
		}
	}
	hasAim := slices.Contains(previous.keys, "settings.categories[].aim_ns")
	hasGiveUp := slices.Contains(previous.keys, "settings.categories[].give_up_ns")
	for _, class := range c.Settings.Categories {
		if hasAim && class.Aim <= 0 {
			return fmt.Errorf("settings.categories %q: aim_ns %d is not above 0", class.Name, class.Aim)
		}
		if hasGiveUp && class.GiveUp <= 0 {
			return fmt.Errorf("settings.categories %q: give_up_ns %d is not above 0", class.Name, class.GiveUp)
		}
	}
	if slices.Contains(previous.keys, "settings.permissions.send_cap") && c.Settings.Permissions.SendCap <= 0 {
		return fmt.Errorf("settings.permissions.send_cap %d is not above 0", c.Settings.Permissions.SendCap)
	}
	return nil
}
