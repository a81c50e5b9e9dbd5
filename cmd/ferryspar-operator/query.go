package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
	"ferryspar/internal/query"
)

// queryCommand answers an SQL query about the fleet.
type queryCommand struct {
	Rows int           `long:"rows" default:"1000" description:"print no more rows than this"`
	Time time.Duration `long:"time" default:"5s" description:"stop a query that takes longer"`
	Args struct {
		Statement string `positional-arg-name:"SELECT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (q *queryCommand) Execute([]string) error {
	var fleet adminapi.FleetStatus
	content, err := call(http.MethodGet, adminapi.PathStatus, "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, &fleet); err != nil {
		return err
	}
	var current configuration.Configuration
	if needsConfiguration(q.Args.Statement) {
		if current, err = fetchConfiguration(); err != nil {
			return err
		}
	}
	limits := query.Limits{MaxRows: q.Rows, Timeout: q.Time}
	result, err := query.Run(context.Background(), query.Tables(fleet, current), q.Args.Statement, limits)
	if err != nil {
		return err
	}
	if result.Truncated {
		fmt.Fprintf(os.Stderr, "only the first %d rows\n", q.Rows)
	}
	if options.JSON {
		return result.WriteJSON(os.Stdout)
	}
	return result.WriteTable(os.Stdout)
}

// needsConfiguration tells whether a statement may name a table that is made of the configuration.
func needsConfiguration(statement string) bool {
	statement = strings.ToLower(statement)
	return strings.Contains(statement, "routes") || strings.Contains(statement, "tenants")
}

// fetchConfiguration reads the newest configuration, with digests in the place of keys.
func fetchConfiguration() (configuration.Configuration, error) {
	content, err := call(http.MethodGet, adminapi.PathConfiguration, "", nil)
	if err != nil {
		return configuration.Configuration{}, err
	}
	current, err := configuration.Decode(content)
	return current.Redacted(), err
}
