package tddeploy

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/standin/tdplatform"
)

func platformOptions() tdplatform.Options {
	return tdplatform.Options{WritesPerSecond: storeWrites, ReadsPerSecond: storeReads, ListLag: listLag}
}

// fjellkjede returns the deployment of a snow-chain rental. Its model classes
// have three priority tiers: roadside answers, then answers to counter staff,
// then the drafting of fitting guides.
func fjellkjede() *Deployment {
	ws, weights := newWorkspaces("depot")
	return &Deployment{
		Name: "fjellkjede",
		Spec: newSpec(
			modelGroup("assist", "sone-bergen", 2), modelGroup("assist", "sone-voss", 2), modelGroup("assist", "sone-haugastol", 2),
			modelGroup("assistSpot", "sone-bergen", 1), modelGroup("assistSpot", "sone-voss", 1), modelGroup("assistSpot", "sone-haugastol", 1),
			serviceGroup("booking", "sone-bergen", 1), serviceGroup("booking", "sone-voss", 1), serviceGroup("booking", "sone-haugastol", 1),
		),
		Set: &tarragondeal.Set{
			DataCentres: []tarragondeal.DataCentre{
				{Name: "sone-bergen", Region: "vestlandet"}, {Name: "sone-voss", Region: "vestlandet"}, {Name: "sone-haugastol", Region: "vestlandet"},
			},
			ServerPools: []tarragondeal.ServerPool{
				{Name: "assist", Kind: tarragondeal.PoolModel, Model: "assist-8b", Slots: engineSlots, CostPerHour: 4, ChecksFencing: true},
				{Name: "assistSpot", Kind: tarragondeal.PoolModel, Model: "assist-8b", Slots: engineSlots, CostPerHour: 1.2, Reclaimable: true},
				{Name: "booking", Kind: tarragondeal.PoolService, Slots: serviceSlots, CostPerHour: 0.2},
			},
			RequestClasses: []tarragondeal.RequestClass{
				modelClass("roadside", 1, 330*time.Millisecond, 4*time.Second, 0),
				modelClass("counter", 2, 660*time.Millisecond, 8*time.Second, 0.05),
				modelClass("drafting", 3, 3*time.Second, 12*time.Second, 0.05),
				serviceClass("reservation", 1),
			},
			Workspaces: ws,
			Routes: []tarragondeal.Route{
				{Name: "roadsideAnswer", Class: "roadside", Pools: []string{"assist", "assistSpot"}},
				{Name: "counterAnswer", Class: "counter", Pools: []string{"assist", "assistSpot"}},
				{Name: "fittingGuide", Class: "drafting", Pools: []string{"assist", "assistSpot"}},
				{Name: "reserve", Class: "reservation", Pools: []string{"booking"}, NonIdempotent: true},
			},
		},
		Nodes: []string{"sone-bergen", "sone-bergen", "sone-voss", "sone-voss", "sone-haugastol", "sone-haugastol"},
		Demand: []Demand{
			{Route: "roadsideAnswer", Share: 0.2, Prompt: 1200, Tokens: 16, MaxTokens: 128, Stream: true, PrefixBytes: 768},
			{Route: "counterAnswer", Share: 0.4, Prompt: 2400, Tokens: 24, MaxTokens: 128, Stream: true, PrefixBytes: 1536},
			{Route: "fittingGuide", Share: 0.3, Prompt: 2400, Tokens: 40, MaxTokens: 256, Stream: true, PrefixBytes: 1024},
			{Route: "reserve", Share: 0.1},
		},
		Rate: 70, Weights: weights,
	}
}

// lakeshore returns the deployment of heat-meter test benches. Data must stay in
// the data centres that its workspace permits; two workspaces permit only some.
func lakeshore() *Deployment {
	ws, weights := newWorkspaces("bench")
	ws[3].DataCentres = []string{"sarnia"}
	ws[4].DataCentres = []string{"duluth", "erie"}
	return &Deployment{
		Name: "lakeshore",
		Spec: newSpec(
			modelGroup("narrator", "duluth", 2), modelGroup("narrator", "sarnia", 2), modelGroup("narrator", "toledo", 1), modelGroup("narrator", "erie", 1),
			modelGroup("narratorSpot", "duluth", 1), modelGroup("narratorSpot", "toledo", 1), modelGroup("narratorSpot", "erie", 1),
			serviceGroup("records", "duluth", 1), serviceGroup("records", "sarnia", 1), serviceGroup("records", "toledo", 1), serviceGroup("records", "erie", 1),
		),
		Set: &tarragondeal.Set{
			DataCentres: []tarragondeal.DataCentre{
				{Name: "duluth", Region: "lakes"}, {Name: "sarnia", Region: "lakes"}, {Name: "toledo", Region: "lakes"}, {Name: "erie", Region: "lakes"},
			},
			ServerPools: []tarragondeal.ServerPool{
				{Name: "narrator", Kind: tarragondeal.PoolModel, Model: "narrator-7b", Slots: engineSlots, CostPerHour: 4, ChecksFencing: true},
				{Name: "narratorSpot", Kind: tarragondeal.PoolModel, Model: "narrator-7b", Slots: engineSlots, CostPerHour: 1.2, Reclaimable: true},
				{Name: "records", Kind: tarragondeal.PoolService, Slots: serviceSlots, CostPerHour: 0.2},
			},
			RequestClasses: []tarragondeal.RequestClass{
				modelClass("technician", 1, 330*time.Millisecond, 4*time.Second, 0),
				modelClass("audit", 2, time.Second, 8*time.Second, 0.05),
				modelClass("narrative", 3, 3*time.Second, 12*time.Second, 0.05),
				serviceClass("certificate", 1),
			},
			Workspaces: ws,
			Routes: []tarragondeal.Route{
				{Name: "technicianAnswer", Class: "technician", Pools: []string{"narrator", "narratorSpot"}},
				{Name: "deviationHistory", Class: "audit", Pools: []string{"narrator", "narratorSpot"}},
				{Name: "certificateNarrative", Class: "narrative", Pools: []string{"narrator", "narratorSpot"}},
				{Name: "enterCertificate", Class: "certificate", Pools: []string{"records"}, NonIdempotent: true},
			},
		},
		Nodes: []string{"duluth", "duluth", "sarnia", "sarnia", "toledo", "erie", "erie"},
		Demand: []Demand{
			{Route: "technicianAnswer", Share: 0.25, Prompt: 1200, Tokens: 16, MaxTokens: 128, Stream: true, PrefixBytes: 768},
			{Route: "deviationHistory", Share: 0.3, Prompt: 3200, Tokens: 24, MaxTokens: 128, Stream: true, PrefixBytes: 2048},
			{Route: "certificateNarrative", Share: 0.3, Prompt: 2400, Tokens: 40, MaxTokens: 256, Stream: true, PrefixBytes: 1024},
			{Route: "enterCertificate", Share: 0.15},
		},
		Rate: 70, Weights: weights,
	}
}
