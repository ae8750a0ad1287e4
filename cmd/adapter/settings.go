package main

import (
	"gingerpass/decide"
	"gingerpass/internal/wire"
)

// settings puts the wire's names for settings into the library's.
func settings(s *wire.Setup) decide.Settings {
	effects := map[string]decide.Effect{"read_like": decide.Safe, "idempotency_key": decide.Keyed}
	scopes := map[string]decide.Scope{"all": decide.ScopeAll, "zone": decide.ScopeZone, "cell": decide.ScopeCell}
	p, q, r, f := s.Permissions, s.Prices, s.Rules, s.Specifics
	d := decide.Settings{
		OverShareWorth: s.OverShareWorth, Number: s.Number, Siblings: s.Siblings, Zone: s.Zone, Quantum: s.Quantum,
		MaxAttempts: p.SendCap, SecondCopies: p.SecondCopies, MayProbe: p.MayProbe, MayCancel: p.Cancel,
		Peers: p.Peers, Tells: p.RetryAfter, MaxRetryAfter: p.MaxRetryAfter,
		ReportOnProbe: s.Feedback.How == "on_probe",
		AskRoster:     s.RegistryMode == "on_request", AskWithin: r.AskWithin,
		AnswerSlack: r.AnswerSlack, DrainGrace: r.DrainGrace, Cold: r.Cold, Fall: r.Fall,
		OverloadFactor: r.OverloadFactor, StartCapacity: r.StartCapacity,
		Orders: f.LoadControl, LoadsOnMiss: f.OnMiss != "miss", TellsWarm: f.WarmNotes, TellsCrowd: f.NotesPeers,
		KeepAlive: f.LingerIdle, LoadWindow: f.LoadSpan, OrderTimeout: f.OrderLimit,
		LoadFree: f.FreeLoads, LoadShare: f.LoadPart, MemoryPrice: f.IdleMemory, KindMemoryMB: f.KindMemory,
		CrossZonePrice: q.CrossZone, WastePrice: q.Waste, ProbePrice: q.Probe, PeerPrice: q.Peer,
		LateFailPrice: q.LateFail, OriginPrice: q.Origin,
	}
	for _, c := range s.Categories {
		d.Classes = append(d.Classes, decide.Class{Aim: c.Aim, GiveUp: c.GiveUp, Window: c.Window, Worth: c.Credit,
			LateWorth: c.LateWorth, Effect: effects[c.Idempotency], Scope: scopes[c.KeyScope]})
	}
	for _, c := range s.Customers {
		d.TenantRate = append(d.TenantRate, c.Allowance)
	}
	for i, n := range s.Feedback.Fields {
		switch {
		case s.Feedback.How == "off":
		case n == "active":
			d.InflightField = i + 1
		case n == "waiting":
			d.QueueField = i + 1
		}
	}
	return d
}
