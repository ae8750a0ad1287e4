package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"oakthread/balancer"
)

// Setup is the settings object of a deployment, the same on the simulator's wire and in a dispatcher's
// configuration; unknown keys are left out. Spans are nanoseconds, as told.
type Setup struct {
	Categories []struct {
		Name        string  `json:"name"`
		Aim         int64   `json:"aim_ns"`
		Credit      float64 `json:"credit"`
		GiveUp      int64   `json:"give_up_ns"`
		Idempotency string  `json:"idempotency"`
		KeyScope    string  `json:"key_scope"`
		LateWorth   float64 `json:"late_worth"`
		Window      int64   `json:"window_ns"`
	} `json:"categories"`
	Customers []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"customers"`
	Feedback struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"feedback"`
	Kinds          []string `json:"kinds"`
	Number         int      `json:"my_number"`
	OverShareWorth float64  `json:"over_share_worth"`
	Permissions    struct {
		Cancel         bool  `json:"cancel"`
		ConnIdle       int64 `json:"conn_idle_ns"`
		ConnectTimeout int64 `json:"connect_timeout_ns"`
		MaxRetryAfter  int64 `json:"max_retry_after_ns"`
		MayProbe       bool  `json:"may_probe"`
		OpenCap        int   `json:"open_cap"`
		Peers          bool  `json:"peers"`
		RetryAfter     bool  `json:"retry_after"`
		SecondCopies   bool  `json:"second_copies"`
		SendCap        int   `json:"send_cap"`
	} `json:"permissions"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
		LateFail  float64 `json:"late_fail"`
		Origin    float64 `json:"origin"`
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"prices"`
	Quantum      int64  `json:"quantum_ns"`
	RegistryMode string `json:"registry_mode"`
	Rules        struct {
		AnswerSlack    int64   `json:"answer_slack_ns"`
		AskWithin      int64   `json:"ask_within_ns"`
		Cold           int64   `json:"cold_ns"`
		DrainGrace     int64   `json:"drain_grace_ns"`
		Fall           int64   `json:"fall_ns"`
		OverloadFactor float64 `json:"overload_factor"`
		StartCapacity  float64 `json:"start_capacity"`
	} `json:"rules"`
	Siblings  int `json:"siblings"`
	Specifics struct {
		FreeLoads   float64   `json:"free_loads"`
		IdleMemory  float64   `json:"idle_memory_cost"`
		KindMemory  []float64 `json:"kind_memory_mb"`
		LingerIdle  int64     `json:"linger_idle_ns"`
		LoadControl bool      `json:"load_control"`
		LoadPart    float64   `json:"load_part"`
		LoadSpan    int64     `json:"load_span_ns"`
		NotesPeers  bool      `json:"notes_peers_in_hand"`
		OnMiss      string    `json:"on_miss"`
		OrderLimit  int64     `json:"order_limit_ns"`
		WarmNotes   bool      `json:"warm_notes"`
	} `json:"specifics"`
	Zone  int      `json:"zone"`
	Zones []string `json:"zones"`
}

// ReadSetup decodes a settings object.
func ReadSetup(raw []byte) (*Setup, error) {
	s := &Setup{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// ConnectTimeout and ConnIdle are how long a connection may take to come up, and how long it may lie idle.
func (s *Setup) ConnectTimeout() time.Duration { return time.Duration(s.Permissions.ConnectTimeout) }
func (s *Setup) ConnIdle() time.Duration       { return time.Duration(s.Permissions.ConnIdle) }

// Field is 1 + the place of a figure in a load report; 0: it is not reported.
func (s *Setup) Field(name string) int {
	if s.Feedback.How == "off" {
		return 0
	}
	return 1 + slices.Index(s.Feedback.Fields, name)
}

// Decide puts the deployment's names for settings into the decision module's.
func (s *Setup) Decide() balancer.Settings {
	effects := map[string]balancer.Idempotency{"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentByKey}
	scopes := map[string]balancer.IdempotencyScope{"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell}
	p, q, r, f := s.Permissions, s.Prices, s.Rules, s.Specifics
	d := balancer.Settings{
		OverQuotaWeight: s.OverShareWorth, DispatcherIndex: s.Number, Dispatchers: s.Siblings, Zone: s.Zone, ClockResolution: s.Quantum,
		MaxAttempts: p.SendCap, Hedging: p.SecondCopies, HealthChecks: p.MayProbe, Cancellation: p.Cancel,
		Gossip: p.Peers, SendsRetryAfter: p.RetryAfter, MaxRetryAfter: p.MaxRetryAfter,
		ReportOnHealthCheck: s.Feedback.How == "on_probe",
		PollEndpoints:       s.RegistryMode == "on_request", PollInterval: r.AskWithin,
		ResponseSlack: r.AnswerSlack, DrainGrace: r.DrainGrace, SlowStartWindow: r.Cold, OverloadWindow: r.Fall,
		OverloadFactor: r.OverloadFactor, SlowStartCapacity: r.StartCapacity,
		LoadOrders: f.LoadControl, LoadsOnMiss: f.OnMiss != "miss", ReportsWarmth: f.WarmNotes, ReportsConcurrency: f.NotesPeers,
		KeepAlive: f.LingerIdle, LoadQuotaWindow: f.LoadSpan, LoadOrderTimeout: f.OrderLimit,
		LoadQuotaBase: f.FreeLoads, LoadQuotaRatio: f.LoadPart, MemoryPrice: f.IdleMemory, KindMemoryMB: f.KindMemory,
		CrossZonePrice: q.CrossZone, WastePrice: q.Waste, ProbePrice: q.Probe, PeerPrice: q.Peer,
		LateFailurePrice: q.LateFail, OriginPrice: q.Origin,
	}
	for _, c := range s.Categories {
		d.Classes = append(d.Classes, balancer.Class{LatencyObjective: c.Aim, ClientTimeout: c.GiveUp, IdempotencyWindow: c.Window, PriorityWeight: c.Credit,
			LatePriorityWeight: c.LateWorth, Idempotency: effects[c.Idempotency], IdempotencyScope: scopes[c.KeyScope]})
	}
	for _, c := range s.Customers {
		d.TenantQuota = append(d.TenantQuota, c.Allowance)
	}
	d.InflightField, d.QueueField = s.Field("active"), s.Field("waiting")
	return d
}
