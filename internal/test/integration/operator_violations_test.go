package integration

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// violations checks all calls so far: one change at most is acknowledged on a version, and resends of a change agree.
func (o *operators) violations() []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	var found []string
	winners := map[int]string{}
	for index, call := range o.calls {
		if outcomeOf(call.status) == acknowledged && call.change.zone == "" {
			winner, known := winners[call.change.ifMatch]
			if known && winner != call.change.name {
				found = append(
					found,
					fmt.Sprintf("%q and %q are both acknowledged on version %d", winner, call.change.name, call.change.ifMatch),
				)
			}
			winners[call.change.ifMatch] = call.change.name
		}
		if outcomeOf(call.status) == rejected && call.change.zone != "" {
			found = append(found, "an evacuation is rejected: "+call.String())
		}
		found = append(found, contradictions(call, o.calls[index+1:])...)
	}
	return found
}

// contradictions lists later resends of a call with an outcome that contradicts the call's own.
func contradictions(call operatorCall, following []operatorCall) []string {
	var found []string
	for _, later := range following {
		if later.change.name != call.change.name || later.began.Before(call.ended) {
			continue
		}
		first, second := outcomeOf(call.status), outcomeOf(later.status)
		if first == acknowledged && second == rejected {
			found = append(found, "acknowledged, then rejected: "+call.String()+" / "+later.String())
		}
		if first == rejected && second == acknowledged {
			found = append(found, "rejected, then acknowledged: "+call.String()+" / "+later.String())
		}
	}
	return found
}

// readViolations checks a configuration that was read when no call was in flight.
func (o *operators) readViolations(content string) []string {
	var document struct {
		Revision   int
		RouteTable []struct{ Name string }
	}
	if err := json.Unmarshal([]byte(content), &document); err != nil {
		return []string{"no valid configuration is read: " + content}
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	newest, under, routes := 0, map[string]outcome{}, map[string]string{}
	for _, call := range o.calls {
		if call.change.zone != "" {
			continue
		}
		result := outcomeOf(call.status)
		if result == acknowledged {
			newest = max(newest, call.change.revision)
		}
		if call.change.revision == document.Revision && under[call.change.name] != acknowledged {
			under[call.change.name], routes[call.change.name] = result, call.change.route
		}
	}
	if document.Revision < newest {
		return []string{fmt.Sprintf("revision %d is read, %d was acknowledged", document.Revision, newest)}
	}
	for name, result := range under {
		there := slices.ContainsFunc(document.RouteTable, func(route struct{ Name string }) bool { return route.Name == routes[name] })
		if result == acknowledged && !there {
			return []string{fmt.Sprintf("%q was acknowledged as revision %d, which is another change", name, document.Revision)}
		}
		if result == rejected && there {
			return []string{fmt.Sprintf("%q was rejected and is in force", name)}
		}
	}
	return nil
}

// zoneViolations compares the drained zones that a member reports with the last acknowledged calls.
func (o *operators) zoneViolations(host string) []string {
	status := o.status(host)
	o.lock.Lock()
	defer o.lock.Unlock()
	last := map[string]operatorCall{}
	open := map[string]bool{}
	for _, call := range o.calls {
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
			found = append(found, fmt.Sprintf("%s reports drained=%t for %s, the last acknowledged is %s", host, drained, zone, call))
		}
	}
	return found
}

var digits = regexp.MustCompile(`[0-9.]+[mµ]?s?`)

// summarizeProblems shows the first problem of each kind and how many there are of it.
func summarizeProblems(problems []string) string {
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

// violationsAt collects all violations once no call is in flight: of the calls, of what each member reads, and of its zones.
func (o *operators) violationsAt(hosts ...string) []string {
	problems := o.violations()
	for _, host := range hosts {
		status, content := o.read(host)
		if status != 200 {
			problems = append(problems, fmt.Sprintf("%s reads %d %.80s", host, status, content))
			continue
		}
		for _, problem := range o.readViolations(content) {
			problems = append(problems, host+": "+problem)
		}
		problems = append(problems, o.zoneViolations(host)...)
	}
	return problems
}

func (o *operators) describe(hosts ...string) string {
	text := ""
	for _, host := range hosts {
		content, _ := json.Marshal(o.shortStatus(host))
		text += fmt.Sprintf("%s: %s\n", host, content)
	}
	return text
}

func (o *operators) shortStatus(host string) any {
	status := o.status(host)
	return struct {
		Fresh         bool
		Revision      int64
		Members, Next []string
		Drained       []string
	}{status.Fresh, status.Revision, status.Members, status.NextMembers, status.DrainedZones}
}
