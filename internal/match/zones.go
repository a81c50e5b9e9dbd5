package match

import (
	"time"

	"ferryspar/internal/partner"
)

const (
	doubtedLeast = 3
	doubtedShare = 1.0 / 3
	doubtedMore  = 3.0
	doubtTime    = time.Second
)

type areaCount struct {
	replicas, failing float64
}

func doubtedAreas(counts map[string]areaCount) []string {
	var doubted []string
	for area, one := range counts {
		elsewhere := areaCount{}
		for other, more := range counts {
			if other != area {
				elsewhere.replicas += more.replicas
				elsewhere.failing += more.failing
			}
		}
		if elsewhere.replicas == 0 || one.failing < doubtedLeast || one.failing < doubtedShare*one.replicas {
			continue
		}
		if one.failing/one.replicas > doubtedMore*elsewhere.failing/elsewhere.replicas {
			doubted = append(doubted, area)
		}
	}
	return doubted
}

func (m *Matcher) near(id string, now time.Time) partner.Outcomes {
	others := m.others(id, now)
	near := partner.Outcomes{Served: others.NearServed, Failed: others.NearFailed}
	if own := m.health.tallies[id]; own != nil {
		near = plus(near, own.Outcomes)
	}
	return near
}

func (m *Matcher) reviewAreas(now time.Time) {
	counts := map[string]areaCount{}
	for _, replica := range m.fleet.Replicas {
		one := counts[replica.Area]
		one.replicas++
		if m.near(replica.ID, now).Failed >= relapse {
			one.failing++
		}
		counts[replica.Area] = one
	}
	for _, area := range doubtedAreas(counts) {
		if !now.Before(m.health.doubted[area]) {
			m.health.doubted[area] = now.Add(doubtTime)
		}
	}
}
