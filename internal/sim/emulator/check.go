package emulator

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// rule is one rule of a scenario's validation: whether it is violated, and the message if so.
type rule struct {
	violated bool
	message  string
}

// Check validates the scenario. The error lists every violated rule.
func (s Scenario) Check() error {
	rules := s.fleetRules()
	rules = append(rules, s.replicaRules()...)
	rules = append(rules, s.disaggregationRules()...)
	rules = append(rules, s.modelRules()...)
	rules = append(rules, s.trafficRules()...)
	rules = append(rules, s.policyRules()...)
	rules = append(rules, s.zoneRules()...)
	rules = append(rules, s.classRules()...)
	rules = append(rules, s.failureRules()...)
	var violated []string
	for _, condition := range rules {
		if condition.violated {
			violated = append(violated, condition.message)
		}
	}
	if len(violated) > 0 {
		return errors.New(strings.Join(violated, "; "))
	}
	return nil
}

// fleetRules validates the duration of the run, the links and the presence of zones and classes.
func (s Scenario) fleetRules() []rule {
	return []rule{
		{s.LengthS <= 0 || s.LengthS > 3600, "lengthS must lie above 0 and at most 3600"},
		{s.WarmS < 0 || s.WarmS >= s.LengthS, "warmS must be at least 0 and below lengthS"},
		{s.BucketS <= 0, "bucketS must be above 0"},
		{len(s.Zones) == 0, "zones is empty"},
		{s.SpareReplicas < 0, "spareReplicas must not be below 0"},
		{len(s.Classes) == 0, "classes is empty"},
		{s.Links.ZoneMs < 0 || s.Links.RegionMs < 0 || s.Links.CrossRegionMs < 0, "links must not be below 0"},
	}
}

// replicaRules validates the performance model of a replica.
func (s Scenario) replicaRules() []rule {
	return []rule{
		{s.Replica.Slots < 1, "replica.slots must be at least 1"},
		{s.Replica.QueuePlaces < 0, "replica.queuePlaces must be at least 0"},
		{s.Replica.KvCacheTokens <= 0, "replica.kvCacheTokens must be above 0"},
		{s.Replica.StepMs <= 0, "replica.stepMs must be above 0"},
		{s.Replica.ChunkTokens <= 0, "replica.chunkTokens must be above 0"},
		{
			s.Replica.PrefillMs < 0 || s.Replica.OccupancyFactor < 0 || s.Replica.SpeedSigma < 0,
			"replica.readMsPerThousand, crowding and spread must not be below 0",
		},
		{s.Replica.RepeatedEvents < 0, "replica.repeatsOnResume must not be below 0"},
		{s.Replica.ColdFactor < 1, "replica.coldFactor must be at least 1"},
	}
}

// disaggregationRules validates the model of disaggregated prefill and decode.
func (s Scenario) disaggregationRules() []rule {
	return []rule{
		{s.Disaggregation.PrefillShare < 0 || s.Disaggregation.PrefillShare >= 1, "split.prefillShare must be at least 0 and below 1"},
		{s.Disaggregation.LinkMbps <= 0 || s.Disaggregation.KvTokenBytes <= 0, "split.linkMbps and kvTokenBytes must be above 0"},
		{s.Disaggregation.SetupMs < 0 || s.Disaggregation.HandleExpiryS <= 0, "split.setupMs must be at least 0 and handleS above 0"},
	}
}

// modelRules validates the models and their loading.
func (s Scenario) modelRules() []rule {
	return []rule{
		{s.Models.Count < 1, "models.count must be at least 1"},
		{s.Models.PerReplica < 1, "models.perReplica must be at least 1"},
		{s.Models.Zipf < 0, "models.zipf must not be below 0"},
		{
			s.Models.LoadTimeS <= 0 || s.Models.LoadsPerS <= 0 || s.Models.ConcurrentLoads < 1,
			"models.loadTimeS, loadsPerS and loadsAtOnce must be above 0",
		},
	}
}

// trafficRules validates the generated or recorded traffic.
func (s Scenario) trafficRules() []rule {
	return []rule{
		{s.Traffic.Record == "" && s.Traffic.RatePerS <= 0, "traffic.perS must be above 0"},
		{s.Traffic.Turns < 1, "traffic.turns must be at least 1"},
		{s.Traffic.BurstFactor < 1, "traffic.burstFactor must be at least 1"},
		{s.Traffic.BurstEveryS > 0 && s.Traffic.BurstLengthS >= s.Traffic.BurstEveryS, "traffic.burstLengthS must be below burstEveryS"},
	}
}

// policyRules validates the platform list, the initial placement and the matcher's parameters.
func (s Scenario) policyRules() []rule {
	return []rule{
		{s.Platform.RefreshMs <= 0, "platform.refreshMs must be above 0"},
		{
			s.Placement.Copies != CopiesSpread && s.Placement.Copies != CopiesPacked,
			fmt.Sprintf("placement.copies must be %q or %q, not %q", CopiesSpread, CopiesPacked, s.Placement.Copies),
		},
		{s.Placement.FillRatio < 0 || s.Placement.FillRatio > 1, "placement.busyShare must lie between 0 and 1"},
		{s.Parameters.BatchSize < 1, "parameters.batchSize must be at least 1"},
		{s.Parameters.QualityWeight < 0 || s.Parameters.QualityWeight > 1, "parameters.delta must lie between 0 and 1"},
	}
}

// zoneRules validates the zones and the fleet's total capacity for models.
func (s Scenario) zoneRules() []rule {
	var rules []rule
	names := map[string]bool{}
	edges := 0
	replicas := 0
	clients := 0.0
	for _, zone := range s.Zones {
		rules = append(rules,
			rule{zone.Name == "" || names[zone.Name], fmt.Sprintf("zones: name %q is missing or duplicated", zone.Name)},
			rule{zone.Region == "", fmt.Sprintf("zones %q: region is missing", zone.Name)},
			rule{
				zone.DataPlanes < 0 || zone.Replicas < 0 || zone.Clients < 0,
				fmt.Sprintf("zones %q: dataPlanes, replicas and clients must not be below 0", zone.Name),
			},
		)
		names[zone.Name] = true
		edges += zone.DataPlanes
		replicas += zone.Replicas
		clients += zone.Clients
	}
	return append(rules,
		rule{len(s.Zones) > 0 && (edges == 0 || replicas == 0 || clients <= 0), "zones need a data plane, a replica and clients"},
		rule{replicas > 0 && s.Models.Count > replicas*s.Models.PerReplica, "models.count is above the capacity of all replicas"},
	)
}

// classRules validates the classes.
func (s Scenario) classRules() []rule {
	var rules []rule
	names := map[string]bool{}
	total := 0.0
	regions := map[string]bool{}
	for _, zone := range s.Zones {
		regions[zone.Region] = true
	}
	for _, class := range s.Classes {
		message := func(text string) string { return fmt.Sprintf("classes %q: %s", class.Name, text) }
		rules = append(rules,
			rule{class.Name == "" || names[class.Name], message("name is missing or duplicated")},
			rule{class.Share < 0, message("share must not be below 0")},
			rule{
				class.LatencyTargetMs <= 0 || class.TimeoutMs <= 0 || class.TokenGapMs <= 0,
				message("aimMs, timeoutMs and tokenGapMs must be above 0"),
			},
			rule{class.Attempts < 1 || class.RetryCount < 1, message("tries and retryCount must be at least 1")},
			rule{class.Prompt.Median <= 0 || class.Output.Median <= 0, message("prompt.median and output.median must be above 0")},
			rule{class.Prompt.Sigma < 0 || class.Output.Sigma < 0, message("sigma must not be below 0")},
			rule{
				class.Prompt.Max < class.Prompt.Median || class.Output.Max < class.Output.Median,
				message("prompt.most and output.most must not be below the median"),
			},
		)
		for _, region := range class.AllowedRegions {
			rules = append(rules, rule{!regions[region], message(fmt.Sprintf("allowedRegions names %q, which has no zone", region))})
		}
		names[class.Name] = true
		total += class.Share
	}
	return append(rules, rule{len(s.Classes) > 0 && total <= 0, "classes have no share above 0"})
}

// failureRules validates losses, crashes and slowdowns against the zones and replicas.
func (s Scenario) failureRules() []rule {
	var rules []rule
	zones := map[string]bool{}
	regions := map[string]bool{}
	replicas := 0
	for _, zone := range s.Zones {
		zones[zone.Name], regions[zone.Region] = true, true
		replicas += zone.Replicas
	}
	for _, loss := range s.Losses {
		rules = append(rules,
			rule{(loss.Zone == "") == (loss.Region == ""), "losses: name either a zone or a region"},
			rule{loss.Zone != "" && !zones[loss.Zone], fmt.Sprintf("losses: unknown zone %q", loss.Zone)},
			rule{loss.Region != "" && !regions[loss.Region], fmt.Sprintf("losses: unknown region %q", loss.Region)},
			rule{loss.RestoreS != 0 && loss.RestoreS <= loss.AtS, "losses: backS must be after atS, or 0 for never"},
		)
	}
	for _, crash := range s.Crashes {
		rules = append(rules, rule{
			crash.Replica < 1 || crash.Replica > replicas,
			fmt.Sprintf("crashes: there is no replica %d", crash.Replica),
		})
	}
	for _, slow := range s.Slowdowns {
		rules = append(rules,
			rule{slow.Replica < 1 || slow.Replica > replicas, fmt.Sprintf("slowdowns: there is no replica %d", slow.Replica)},
			rule{slow.Factor < 1 || slow.EndS <= slow.AtS, "slowdowns: factor must be at least 1 and backS after atS"},
		)
	}
	return rules
}
