package drill

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestMessages_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"question":                     new(ForecastRequest),
		"counts":                       new(RouteCounts),
		"route at a data plane":        new(DataPlaneRoute),
		"cached tokens":                new(CachedTokens),
		"load of a replica":            new(ReplicaLoad),
		"requests in flight":           new(InFlight),
		"answer":                       new(ForecastResponse),
		"route of a forecast":          new(RouteForecast),
		"lost model":                   new(LostModel),
		"estimate of load":             new(LoadEstimate),
		"forecast of replicas":         new(ReplicaForecast),
		"step of placement":            new(PlacementStep),
		"plan":                         new(PlacementPlan),
		"control plane of a forecast":  new(ControlForecast),
		"forecast":                     new(Forecast),
		"quantiles":                    new(Quantiles),
		"stored drill":                 new(Record),
		"notice":                       new(Notice),
		"status":                       new(Status),
		"request":                      new(Request),
		"scope":                        new(Scope),
		"tally":                        new(OutcomeCounts),
		"tally of a route at one edge": new(DataPlaneRouteOutcomes),
		"report":                       new(Report),
		"tally of a route":             new(RouteOutcomes),
	})
}

func TestConstants_WordsStayTheSame(t *testing.T) {
	pinned.CheckJSON(t, "testdata/words.json", map[string][]string{
		"kinds of requests": {KindForecast, KindDrill},
		"ends":              {EndedByTime, EndedByOperator, EndedWithoutContact, EndedByEvacuation, EndedWithoutRenewal},
		"data planes":       {DataPlaneParticipating, DataPlaneSilent},
	})
}

func TestEncodeHistogram_TextStaysTheSame(t *testing.T) {
	histogram := NewHistogram()
	for _, latency := range []float64{3, 80, 80, 1234} {
		RecordLatency(histogram, latency)
	}
	pinned.CheckFile(t, "testdata/histogram.txt", []byte(EncodeHistogram(histogram)+"\n"))
}
