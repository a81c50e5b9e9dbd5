package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"ferryspar/internal/adminapi"
)

// violations judges all calls so far by the rules for operators' changes.
func (o *operators) violations() []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	var found []string
	winners := map[int]string{}
	for index, call := range o.record {
		if outcomeOf(call.status) == acknowledged && call.change.zone == "" {
			winner, known := winners[call.change.condition]
			if known && winner != call.change.name {
				found = append(
					found,
					fmt.Sprintf("%q and %q are both acknowledged on version %d", winner, call.change.name, call.change.condition),
				)
			}
			winners[call.change.condition] = call.change.name
		}
		if outcomeOf(call.status) == refused && call.change.zone != "" {
			found = append(found, "an evacuation is refused: "+call.String())
		}
		found = append(found, contradictions(call, o.record[index+1:])...)
	}
	return found
}

// contradictions are the later resends of a call whose outcome can't stand beside the call's own.
func contradictions(call operatorCall, following []operatorCall) []string {
	var found []string
	for _, later := range following {
		if later.change.name != call.change.name || later.began.Before(call.ended) {
			continue
		}
		first, second := outcomeOf(call.status), outcomeOf(later.status)
		if first == acknowledged && second == refused {
			found = append(found, "acknowledged, then refused: "+call.String()+" / "+later.String())
		}
		if first == refused && second == acknowledged {
			found = append(found, "refused, then acknowledged: "+call.String()+" / "+later.String())
		}
	}
	return found
}

// readViolations judges a configuration that was read back when no call was under way.
func (o *operators) readViolations(content string) []string {
	var document struct {
		Revision   int
		RouteTable []struct{ Name string }
	}
	if err := json.Unmarshal([]byte(content), &document); err != nil {
		return []string{"nothing is read back: " + content}
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	newest, under, routes := 0, map[string]outcome{}, map[string]string{}
	for _, call := range o.record {
		if call.change.zone != "" {
			continue
		}
		said := outcomeOf(call.status)
		if said == acknowledged {
			newest = max(newest, call.change.revision)
		}
		if call.change.revision == document.Revision && under[call.change.name] != acknowledged {
			under[call.change.name], routes[call.change.name] = said, call.change.route
		}
	}
	if document.Revision < newest {
		return []string{fmt.Sprintf("revision %d is read back, %d was acknowledged", document.Revision, newest)}
	}
	for name, said := range under {
		there := slices.ContainsFunc(document.RouteTable, func(one struct{ Name string }) bool { return one.Name == routes[name] })
		if said == acknowledged && !there {
			return []string{fmt.Sprintf("%q was acknowledged as revision %d, which is another's", name, document.Revision)}
		}
		if said == refused && there {
			return []string{fmt.Sprintf("%q was refused and is in force", name)}
		}
	}
	return nil
}

// zoneViolations compares what a control daemon says of the zones with the last acknowledged calls.
func (o *operators) zoneViolations(host string) []string {
	status := o.status(host)
	o.lock.Lock()
	defer o.lock.Unlock()
	last := map[string]operatorCall{}
	open := map[string]bool{}
	for _, call := range o.record {
		zone := call.change.zone
		if zone == "" {
			continue
		}
		if outcomeOf(call.status) == acknowledged {
			last[zone], open[zone] = call, false
		} else if last[zone].change.name != call.change.name {
			open[zone] = true
		}
	}
	var found []string
	for zone, call := range last {
		drained := slices.Contains(status.DrainedZones, zone)
		if !open[zone] && drained != call.change.drained {
			found = append(found, fmt.Sprintf("%s says drained=%t for %s, the last acknowledged is %s", host, drained, zone, call))
		}
	}
	return found
}

func (o *operators) status(host string) adminapi.FleetStatus {
	got := o.f.call(http.MethodGet, host+":8166", "/ferryspar/status", "", nil)
	var status adminapi.FleetStatus
	_ = json.Unmarshal([]byte(got.body), &status)
	return status
}

// newest is the highest acknowledged revision.
func (o *operators) newest() int {
	o.lock.Lock()
	defer o.lock.Unlock()
	newest := 0
	for _, call := range o.record {
		if call.change.zone == "" && outcomeOf(call.status) == acknowledged {
			newest = max(newest, call.change.revision)
		}
	}
	return newest
}

// waitMembers waits until a daemon shows so many members and no change of members under way.
func (o *operators) waitMembers(host string, amount int, bound time.Duration) bool {
	for began := time.Now(); time.Since(began) < bound; time.Sleep(firstPause) {
		status := o.status(host)
		if len(status.Members) == amount && len(status.NextMembers) == 0 && status.Fresh {
			return true
		}
	}
	return false
}

var digits = regexp.MustCompile(`[0-9.]+[mµ]?s?`)

// listed shows the first problem of each kind and how many there are of it.
func listed(problems []string) string {
	counts, first := map[string]int{}, []string{}
	for _, problem := range problems {
		kind := digits.ReplaceAllString(problem[:min(len(problem), 60)], "#")
		if counts[kind]++; counts[kind] == 1 {
			first = append(first, problem)
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d problems of %d kinds:\n", len(problems), len(first))
	for _, problem := range first {
		kind := digits.ReplaceAllString(problem[:min(len(problem), 60)], "#")
		fmt.Fprintf(&text, "%d times, first: %.300s\n", counts[kind], problem)
	}
	return text.String()
}
