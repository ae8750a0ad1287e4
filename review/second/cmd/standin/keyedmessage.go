package main

import (
	"fmt"
	"time"

	"oakthread/review/second/rig"
)

func init() { scenes["keyed-message"] = keyedMessage }

// keyedMessage asks for annotation-save, whose repeats the workers of a hall drop by their key, by
// the platform's port and by signed webhooks. The connection of the first run of each is reset
// under it; without trouble none is.
func keyedMessage(root string, record *rig.Record, trouble bool) (broken []string, err error) {
	const (
		calls = 5
		boxes = 12 // the least that the site has
	)
	tier, err := rig.NewTier(root, record, rig.Kataster(), boxes, dispatchers)
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	tier.Fleet.Window = 8 * time.Second
	node := tier.Nodes[0]
	if err := node.WriteWebhooks("", "geoplan", ""); err != nil {
		return nil, err
	}
	if _, err := tier.StartAll(); err != nil {
		return nil, err
	}
	if err := warmUp(tier, "parcel-view", calls); err != nil {
		return nil, err
	}
	if trouble {
		tier.Fleet.SetFault(resetFirst("annotation-save"))
	}
	for n := range calls {
		keyed := call("annotation-save", n, "platform")
		keyed.Key = rig.NewID() + rig.NewID()
		rig.SendNew(record, node.Addr, keyed)
		message(tier, "annotation-save", n)
	}
	time.Sleep(time.Second)
	for body, count := range countApplied(tier.Fleet.Runs()) {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("%q of a keyed class was applied %d times", body, count))
		}
	}
	return broken, nil
}
