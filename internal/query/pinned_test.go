package query

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
	"ferryspar/internal/test/pinned"
)

// tableText is the pinned form of a table.
type tableText struct {
	Table   string   `json:"table"`
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

func TestTables_NamesAndColumnsStayTheSame(t *testing.T) {
	var fleet adminapi.FleetStatus
	var current configuration.Configuration
	pinned.Fill(&fleet)
	pinned.Fill(&current)
	var actual []tableText
	for _, table := range Tables(fleet, current) {
		actual = append(actual, tableText{table.Name, table.Columns, table.Rows})
	}
	pinned.CheckJSON(t, "testdata/tables.json", actual)
}

func TestResult_JSONStaysTheSame(t *testing.T) {
	var written strings.Builder
	result := Result{Columns: []string{"a", "b"}, Rows: [][]any{{1, "x"}, {nil, 2.5}}, Truncated: true}
	assert.NilError(t, result.WriteJSON(&written))
	assert.Equal(t, written.String(), `{"cut":true,"rows":[{"a":1,"b":"x"},{"a":null,"b":2.5}]}`+"\n")
}
