package wire

import (
	"oakthread/balancer"
	"oakthread/classes"
)

// The kinds of idempotency and the scopes of idempotency keys by their names on the wire.
var (
	idempotencies = map[string]balancer.Idempotency{
		"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentByKey,
	}
	idempotencyScopes = map[string]balancer.IdempotencyScope{
		"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
	}
)

// BalancerSettings converts the deployment's settings to those of package balancer. Durations stay
// in nanoseconds.
func (s *Settings) BalancerSettings() balancer.Settings {
	settings := balancer.Settings{
		OverQuotaWeight: s.OverShareWorth, DispatcherIndex: s.Number, Dispatchers: s.Siblings, Zone: s.Zone,
		ClockResolution: s.Quantum, PollEndpoints: s.RegistryMode == "on_request",
		InflightField: s.ReportField("active"), QueueField: s.ReportField("waiting"),
		ReportOnHealthCheck: s.Feedback.How == "on_probe",
	}
	s.addPermissions(&settings)
	s.addPrices(&settings)
	s.addRules(&settings)
	s.addSpecifics(&settings)
	s.addClasses(&settings)
	for _, customer := range s.Customers {
		settings.TenantQuota = append(settings.TenantQuota, customer.Allowance)
	}
	return settings
}

// ClassDefinitions returns the names and the rules of the classes, in the order of the settings.
func (s *Settings) ClassDefinitions() []classes.Definition {
	var definitions []classes.Definition
	for i, rules := range s.BalancerSettings().Classes {
		definitions = append(definitions, classes.Definition{Name: s.Categories[i].Name, Rules: rules})
	}
	return definitions
}

// addPermissions converts the permissions of the dispatcher.
func (s *Settings) addPermissions(settings *balancer.Settings) {
	permissions := &s.Permissions
	settings.MaxAttempts = permissions.SendCap
	settings.Hedging = permissions.SecondCopies
	settings.HealthChecks = permissions.MayProbe
	settings.Cancellation = permissions.Cancel
	settings.Gossip = permissions.Peers
	settings.SendsRetryAfter = permissions.RetryAfter
	settings.MaxRetryAfter = permissions.MaxRetryAfter
}

// addPrices converts the prices of the dispatcher's actions.
func (s *Settings) addPrices(settings *balancer.Settings) {
	prices := &s.Prices
	settings.CrossZonePrice = prices.CrossZone
	settings.WastePrice = prices.Waste
	settings.ProbePrice = prices.Probe
	settings.PeerPrice = prices.Peer
	settings.LateFailurePrice = prices.LateFail
	settings.OriginPrice = prices.Origin
}

// addRules converts the rules for timing, overload and slow start.
func (s *Settings) addRules(settings *balancer.Settings) {
	rules := &s.Rules
	settings.PollInterval = rules.AskWithin
	settings.ResponseSlack = rules.AnswerSlack
	settings.DrainGrace = rules.DrainGrace
	settings.SlowStartWindow = rules.Cold
	settings.OverloadWindow = rules.Fall
	settings.OverloadFactor = rules.OverloadFactor
	settings.SlowStartCapacity = rules.StartCapacity
}

// addSpecifics converts the rules for loading functions.
func (s *Settings) addSpecifics(settings *balancer.Settings) {
	specifics := &s.Specifics
	settings.LoadOrders = specifics.LoadControl
	settings.LoadsOnMiss = specifics.OnMiss != "miss"
	settings.ReportsWarmth = specifics.WarmNotes
	settings.ReportsConcurrency = specifics.NotesPeers
	settings.KeepAlive = specifics.LingerIdle
	settings.LoadQuotaWindow = specifics.LoadSpan
	settings.LoadOrderTimeout = specifics.OrderLimit
	settings.LoadQuotaBase = specifics.FreeLoads
	settings.LoadQuotaRatio = specifics.LoadPart
	settings.MemoryPrice = specifics.IdleMemory
	settings.KindMemoryMB = specifics.KindMemory
}

// addClasses converts the classes of requests.
func (s *Settings) addClasses(settings *balancer.Settings) {
	for i := range s.Categories {
		category := &s.Categories[i]
		settings.Classes = append(settings.Classes, balancer.Class{
			LatencyObjective: category.Aim, ClientTimeout: category.GiveUp, IdempotencyWindow: category.Window,
			PriorityWeight: category.Credit, LatePriorityWeight: category.LateWorth,
			Idempotency: idempotencies[category.Idempotency], IdempotencyScope: idempotencyScopes[category.KeyScope],
		})
	}
}
