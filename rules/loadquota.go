package rules

import "oakthread/internal/mutant"

// LoadQuota limits the number of load orders in a time window.
type LoadQuota struct {
	Base  float64 // load orders allowed regardless of traffic
	Ratio float64 // additional load orders allowed per request accepted in the window
}

// MayOrderLoad decides whether another load order may be sent. accepted is the number of requests
// accepted in the current window, ordered the number of load orders already sent in it.
func MayOrderLoad(quota LoadQuota, accepted, ordered int) Reason {
	limit := quota.Base + quota.Ratio*float64(accepted)
	if float64(ordered+1) > limit && !mutant.On(mutant.UnlimitedLoads) {
		return LoadQuotaExhausted
	}
	return Allowed
}
