package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/operator"
	"ferryspar/internal/query"
)

type queryFleet struct {
	Rows int           `long:"rows" default:"1000" description:"print no more rows than this"`
	Time time.Duration `long:"time" default:"5s" description:"stop a query that takes longer"`
	Args struct {
		Statement string `positional-arg-name:"SELECT" required:"yes"`
	} `positional-args:"yes"`
}

func (q *queryFleet) Execute(rest []string) error {
	var fleet operator.Fleet
	content, err := ask(http.MethodGet, "/ferryspar/status", "", nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, &fleet); err != nil {
		return err
	}
	var current configuration.Configuration
	if asksConfiguration(q.Args.Statement) {
		if current, err = askConfiguration(); err != nil {
			return err
		}
	}
	result, err := query.Run(context.Background(), query.Tables(fleet, current), q.Args.Statement, query.Bounds{Rows: q.Rows, Time: q.Time})
	if err != nil {
		return err
	}
	if result.Cut {
		fmt.Fprintf(os.Stderr, "only the first %d rows\n", q.Rows)
	}
	if shared.JSON {
		return result.JSON(os.Stdout)
	}
	return result.Table(os.Stdout)
}

// asksConfiguration tells whether a statement may name a table that is made of the configuration.
func asksConfiguration(statement string) bool {
	statement = strings.ToLower(statement)
	return strings.Contains(statement, "routes") || strings.Contains(statement, "tenants")
}

// askConfiguration reads the newest configuration, with digests in the place of keys.
func askConfiguration() (configuration.Configuration, error) {
	content, err := ask(http.MethodGet, "/ferryspar/config", "", nil)
	if err != nil {
		return configuration.Configuration{}, err
	}
	current, err := configuration.Decode(content)
	return current.Redacted(), err
}
