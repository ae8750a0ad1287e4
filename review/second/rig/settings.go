package rig

import "encoding/json"

// Class is one class of the settings.
type Class struct {
	Name        string  `json:"name"`
	Aim         int64   `json:"aim_ns"`
	GiveUp      int64   `json:"give_up_ns"`
	Credit      float64 `json:"credit"`
	LateWorth   float64 `json:"late_worth"`
	Idempotency string  `json:"idempotency"`
	KeyScope    string  `json:"key_scope"`
	Window      int64   `json:"window_ns"`
	Stream      bool    `json:"stream"`
}

const (
	millisecond = int64(1e6)
	second      = int64(1e9)
)

// Site holds what differs between the deployments.
type Site struct {
	Name         string
	Classes      []Class
	Customers    []string
	Zones        []string
	SecondCopies bool
	Peers        bool
	SendCap      int
	DrainGrace   int64
	Fields       []string
	LoadPart     float64
}

// Derby returns the site derby-planning, with the classes of its page.
func Derby() Site {
	return Site{
		Name: "derby-planning",
		Classes: []Class{
			{"path-check", 400 * millisecond, 5 * second, 1, 0.1, "read_like", "all", 5 * second, false},
			{"route-price", 1500 * millisecond, 5 * second, 1, 0.2, "read_like", "all", 5 * second, false},
			{"path-book", 750 * millisecond, 4 * second, 5, 0.3, "non_idempotent", "all", 5 * second, false},
		},
		Customers: []string{"ironbridge-haul", "soar-freight", "dove-minerals", "wreake-rail", "idle-intermodal"},
		Zones:     []string{"north-room", "south-room"}, SecondCopies: true, Peers: true, SendCap: 5,
		DrainGrace: second, Fields: []string{"waiting", "cpu"}, LoadPart: 0.3,
	}
}

type object = map[string]any

// Settings returns the settings object of dispatcher number of a tier.
func (s Site) Settings(number, dispatchers int) json.RawMessage {
	customers := make([]object, len(s.Customers))
	for i, name := range s.Customers {
		customers[i] = object{"name": name, "allowance_per_s": 22.0, "fraction": 0.2}
	}
	raw, err := json.Marshal(object{
		"categories": s.Classes, "clients": object{"marks_retry": false}, "customers": customers,
		"feedback": object{"fields": s.Fields, "how": "inline"},
		"goal":     object{"whole": 0.35, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.35},
		"kinds":    []string{"std-2core"}, "layers": []string{"workers"}, "my_number": number,
		"over_share_worth": 0.05,
		"permissions": object{
			"cancel": true, "conn_idle_ns": 15 * second, "connect_timeout_ns": 250 * millisecond,
			"cpu_us_per_request": 0.0, "cpu_us_per_s": 130117, "max_retry_after_ns": 2 * second, "may_probe": true,
			"open_cap": 26023, "peers": s.Peers, "retry_after": false, "second_copies": s.SecondCopies,
			"send_cap": s.SendCap, "streams_per_conn": 32,
		},
		"prices": object{
			"connection": 0.0, "cross_zone": 0.02, "handshake": 0.0, "late_fail": 0.03, "moves": 0.0,
			"origin": 0.031, "peer": 0.021, "probe": 0.0098, "registry_mode": 0.0, "waste": 0.2,
		},
		"quantum_ns": 4 * millisecond, "registry_mode": "pushed",
		"rules": object{
			"answer_slack_ns": 16 * millisecond, "ask_within_ns": 10 * second, "cold_ns": 17 * second,
			"drain_grace_ns": s.DrainGrace, "fall_ns": 3 * second, "overload_factor": 3.0, "start_capacity": 0.2,
		},
		"siblings": dispatchers,
		"specifics": object{
			"free_loads": 6.0, "idle_memory_cost": 0.1, "kind_memory_mb": []float64{46464},
			"linger_idle_ns": 8100 * millisecond, "load_control": true, "load_part": s.LoadPart,
			"load_span_ns": 5 * second, "notes_peers_in_hand": true, "on_miss": "load",
			"order_limit_ns": 10 * second, "warm_notes": true,
		},
		"stage": 0, "value_by": "request", "weights": "nominal", "workload": "warm", "zone": number % len(s.Zones),
		"zones": s.Zones,
	})
	if err != nil {
		panic(err) // the object holds nothing that JSON cannot
	}
	return raw
}
