package integration

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
)

func TestConfiguration_ConcurrentPutsOnOneVersionHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		answers := make(chan reply, 2)
		go func() { answers <- f.putConfiguration(1, 1, document(2, "")) }()
		go func() { answers <- f.putConfiguration(2, 1, document(3, newRoute)) }()
		first, second := <-answers, <-answers
		won := 0
		for _, answer := range []reply{first, second} {
			if answer.status == http.StatusOK {
				won++
			}
		}
		assert.Equal(t, won, 1, "%d and %d", first.status, second.status)
		assert.Equal(
			t,
			f.putConfiguration(3, 1, document(2, "")).status+f.putConfiguration(3, 1, document(3, newRoute)).status,
			http.StatusOK+http.StatusPreconditionFailed,
			"a resend is accepted, the other change is not",
		)
	})
}

func TestConfiguration_RejectsInvalidDocumentsWithReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1)
		cases := map[string]string{
			strings.Replace(document(2, ""), `"backend":"scribes"`, `"backend":"nobody"`, 1):                                "nobody",
			strings.Replace(document(2, ""), `"timeoutMs":20000`, `"timeoutMs":0`, 1):                                       "timeoutMs",
			strings.Replace(document(2, ""), `/patient/`, `/quick/`, 1):                                                     "pathPrefix",
			strings.Replace(document(2, ""), `"backend":"scribes"`, `"trafficSplit":[{"backend":"scribes","weight":0}]`, 1): "weights",
			document(1, newRoute):                        "revision",
			document(2, "")[:500]:                        "JSON",
			`{"revision":2,"routeTable":[{"name":"x"}]}`: "hostname",
		}
		for body, reason := range cases {
			got := f.putConfiguration(2, 1, body)
			assert.Assert(t, got.status >= 400 && got.status < 500, "%s: %d", reason, got.status)
			assert.Assert(t, strings.Contains(got.body, reason), "%s: %s", reason, got.body)
		}
		assert.Equal(t, f.putConfiguration(1, 7, document(8, "")).status, http.StatusPreconditionFailed)
	})
}

func TestConfiguration_PatchReachesDataPlanes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 2, standIn)
		patch := fmt.Sprintf(`{"revision":5,"upsert":{"routeTable":[%s]},"remove":{"routeTable":["patient"]}}`, newRoute[1:])
		got := f.call(http.MethodPatch, coreHost(2)+":8166", "/ferryspar/config", patch, map[string]string{"If-Match": "1"})
		assert.Equal(t, got.status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		for edge := 1; edge <= 2; edge++ {
			assert.Equal(t, f.request(edge, "attempt", "/added/x", "swift").status, http.StatusOK)
			assert.Equal(t, f.request(edge, "attempt", "/patient/", "swift").status, http.StatusNotFound)
		}
		read := f.call(http.MethodGet, coreHost(3)+":8166", "/ferryspar/config", "", nil)
		assert.Equal(t, read.status, http.StatusOK)
		assert.Assert(t, strings.Contains(read.body, `"added"`) && strings.Contains(read.body, `"revision":5`))
	})
}

func TestConfiguration_HundredsOfAddedRoutesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		var extra strings.Builder
		for number := range 350 {
			extra.WriteString(strings.NewReplacer("added", fmt.Sprintf("added-%d", number)).Replace(newRoute))
		}
		assert.Equal(t, f.putConfiguration(1, 1, document(2, extra.String())).status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added-349/", "swift").status, http.StatusOK)
	})
}

func TestConfiguration_RapidChangesConvergeAndNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(
			t,
			3,
			newStandInReplica("i-1", "10.1.2.1", "north", "swift"),
			newStandInReplica("i-2", "10.2.2.1", "south", "swift"),
		)
		for revision := 2; revision <= 16; revision++ {
			patch := fmt.Sprintf(
				`{"revision":%d,"upsert":{"routeTable":[%s]}}`,
				revision,
				routeNamed(fmt.Sprintf("storm-%d", revision))[1:],
			)
			got := f.call(
				http.MethodPatch,
				coreHost(1+revision%3)+":8166",
				"/ferryspar/config",
				patch,
				map[string]string{"If-Match": fmt.Sprint(revision - 1)},
			)
			assert.Equal(t, got.status, http.StatusOK, "revision %d", revision)
			time.Sleep(150 * time.Millisecond)
			for edge := 1; edge <= 3; edge++ {
				path := fmt.Sprintf("/storm-%d/", revision-1)
				if revision > 2 {
					assert.Equal(
						t,
						f.request(edge, "attempt", path, "swift").status,
						http.StatusOK,
						"edge %d lost the previous route at %d",
						edge,
						revision,
					)
				}
			}
		}
		time.Sleep(time.Second)
		for edge := 1; edge <= 3; edge++ {
			assert.Equal(t, f.request(edge, "attempt", "/storm-16/", "swift").status, http.StatusOK)
		}
	})
}

func TestConfiguration_ZoneWithSlashIsDrained(t *testing.T) {
	const zone = "hall/north 1"
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.kill(coreHost(1))
		f.adjustSettings = func(settings *nodesettings.Settings) {
			settings.Zones = map[string]string{zone: "land", "north": "land", "south": "land", "east": "land"}
		}
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(4 * time.Second)
		drained := f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/"+url.PathEscape(zone), "", nil)
		assert.Equal(t, drained.status, http.StatusOK, drained.body)
		status := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/status", "", nil)
		assert.Assert(t, strings.Contains(status.body, zone), status.body)
		unknown := f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/"+url.PathEscape("no/such"), "", nil)
		assert.Equal(t, unknown.status, http.StatusNotFound)
	})
}
