package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Settings is the settings object of a deployment. It has the same form in the simulator's protocol
// and in a dispatcher's configuration. Unknown keys are ignored. Durations are in nanoseconds.
type Settings struct {
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

// ReadSettings decodes a settings object. It returns an error if raw is not valid JSON or a value
// has the wrong type.
func ReadSettings(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// ConnectTimeout returns the maximum time for connecting to a worker.
func (s *Settings) ConnectTimeout() time.Duration { return time.Duration(s.Permissions.ConnectTimeout) }

// ConnIdle returns how long a worker keeps an idle connection open.
func (s *Settings) ConnIdle() time.Duration { return time.Duration(s.Permissions.ConnIdle) }

// ReportField returns 1 + the index of a field in load reports, or 0 if it is not reported.
func (s *Settings) ReportField(name string) int {
	if s.Feedback.How == "off" {
		return 0
	}
	return 1 + slices.Index(s.Feedback.Fields, name)
}
