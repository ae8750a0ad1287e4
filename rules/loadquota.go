package rules

import "oakthread/internal/mutant"

// LoadQuota bounds the load orders of a time window.
type LoadQuota struct {
	Base  float64 // orders allowed in any case
	Ratio float64 // further orders allowed for each request accepted in the same window
}

// MayOrderLoad decides whether one more load order may be written in a window in which so many
// requests were accepted and so many load orders written.
func MayOrderLoad(quota LoadQuota, accepted, ordered int) Reason {
	limit := quota.Base + quota.Ratio*float64(accepted)
	if float64(ordered+1) > limit && !mutant.On(mutant.UnlimitedLoads) {
		return LoadQuotaExhausted
	}
	return Allowed
}
