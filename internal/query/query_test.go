package query

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
)

func testTables() []Table {
	loaded := []discovery.LoadedModel{{Name: "big", Revision: 2, Adapters: []string{"a1", "a2"}}}
	status := adminapi.FleetStatus{
		Address: "10.0.0.1:9000", Fresh: true, Members: []string{"10.0.0.1:9000", "10.0.0.2:9000"}, NextMembers: []string{"10.0.0.3:9000"},
		PlacementLeaseHolder: "10.0.0.2:9000", DrainedZones: []string{"b"}, DataPlanes: []string{"edge-1"},
		Replicas: []discovery.Replica{
			{ID: "r1", Backend: "chat", Zone: "a", State: "ready", Slots: 8, Models: loaded},
			{ID: "r2", Backend: "chat", Zone: "b", State: "ready", Slots: 8, Models: loaded},
			{ID: "r3", Backend: "chat", Zone: "a", State: "starting", Slots: 4},
		},
	}
	return Tables(status, configuration.Configuration{Routes: []configuration.Route{
		{Name: "plain", Backend: "chat", TimeoutMs: 1000},
		{Name: "split", TrafficSplit: []configuration.Split{{Backend: "chat", Weight: 90}, {Backend: "gone", Weight: 10}}},
	}, Tenants: []configuration.Tenant{{Name: "one", Keys: []configuration.APIKey{"secret"}, RatePerS: 4}, {Name: "two"}}})
}

var testLimits = Limits{MaxRows: 100, Timeout: 10 * time.Second}

func TestRun_PrintsAsTableAndJSON(t *testing.T) {
	cases := []struct{ statement, wanted string }{
		{
			statement: "SELECT zone, count(*) AS n FROM replicas GROUP BY zone;",
			wanted:    "zone  n\na     2\nb     1\n",
		},
		{
			statement: "SELECT model, count(*) AS copies FROM models JOIN zones USING (zone) WHERE NOT drained GROUP BY model",
			wanted:    "model  copies\nbig    1\n",
		},
		{
			statement: "SELECT r.name, r.backend FROM routes r LEFT JOIN replicas p ON p.backend = r.backend WHERE p.id IS NULL",
			wanted:    "name   backend\nsplit  gone\n",
		},
		{
			statement: "with held as (select replica from models) select id from replicas where id not in (select replica from held)",
			wanted:    "id\nr3\n",
		},
		{
			statement: "SELECT address, part FROM members ORDER BY address DESC LIMIT 1",
			wanted:    "address        part\n10.0.0.3:9000  next\n",
		},
		{
			statement: "SELECT * FROM tenants ORDER BY name",
			wanted: "name  priority  rate_per_s  burst  key_digest\none             4           0      " +
				configuration.APIKey("secret").Digest() + "\ntwo             0           0      \n",
		},
		{
			statement: "SELECT duty, holder, (SELECT count(*) FROM edges) AS edges, (SELECT max(adapter) FROM adapters) AS adapter, " +
				"time_left_ms FROM tenures, replicas LIMIT 1",
			wanted: "duty       holder         edges  adapter  time_left_ms\nplacement  10.0.0.2:9000  1      a2       \n",
		},
	}
	for _, testCase := range cases {
		result, err := Run(context.Background(), testTables(), testCase.statement, testLimits)
		assert.NilError(t, err, testCase.statement)
		var printed bytes.Buffer
		assert.NilError(t, result.WriteTable(&printed))
		assert.Equal(t, printed.String(), testCase.wanted)
	}
	oneRow := Limits{MaxRows: 1, Timeout: testLimits.Timeout}
	result, err := Run(context.Background(), testTables(), "SELECT id, slots FROM replicas ORDER BY id", oneRow)
	assert.NilError(t, err)
	var printed bytes.Buffer
	assert.NilError(t, result.WriteJSON(&printed))
	assert.Equal(t, printed.String(), `{"cut":true,"rows":[{"id":"r1","slots":8}]}`+"\n")
}

func TestRun_RejectsInvalidStatements(t *testing.T) {
	endless := "WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n) SELECT max(x) FROM n"
	for statement, wanted := range map[string]string{
		"SELECT * FROM servers":                             "replicas (id, backend, zone",
		"SELECT colour FROM replicas":                       "no such column: colour",
		"SELECT id FROM replicas WHERE":                     "incomplete input",
		"DELETE FROM replicas":                              "only SELECT",
		"ATTACH 'file' AS other":                            "only SELECT",
		"SELECT 1; DROP TABLE replicas":                     "one statement at a time",
		"WITH x AS (SELECT 1) DELETE FROM replicas":         "readonly",
		"WITH x AS (SELECT 1) INSERT INTO edges VALUES (1)": "readonly",
		endless: "took longer than",
	} {
		limits := testLimits
		if statement == endless {
			limits.Timeout = 300 * time.Millisecond
		}
		_, err := Run(context.Background(), testTables(), statement, limits)
		assert.ErrorContains(t, err, wanted, statement)
	}
}

func TestNeedsConfiguration(t *testing.T) {
	for statement, expected := range map[string]bool{
		"SELECT * FROM replicas":                     false,
		"SELECT * FROM Routes":                       true,
		"select count(*) from replicas, tenants t":   true,
		"SELECT duty FROM tenures":                   false,
		"SELECT id FROM replicas WHERE zone = 'ams'": false,
	} {
		assert.Equal(t, NeedsConfiguration(statement), expected, statement)
	}
}
