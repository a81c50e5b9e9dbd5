package main

import (
	"context"
	"fmt"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/query"
)

// queryCommand runs a SQL query on the fleet's state.
type queryCommand struct {
	app     *application
	MaxRows int           `long:"rows" default:"1000" description:"maximum number of rows to print"`
	Timeout time.Duration `long:"time" default:"5s" description:"timeout of the query"`
	Args    struct {
		Statement string `positional-arg-name:"SELECT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute reads the data that the statement needs from the control plane, runs it and prints the result.
func (q *queryCommand) Execute([]string) error {
	result, err := q.run()
	if err != nil {
		return err
	}
	if result.Truncated {
		fmt.Fprintf(q.app.stderr, "only the first %d rows\n", q.MaxRows)
	}
	if q.app.options.JSON {
		return result.WriteJSON(q.app.stdout)
	}
	return result.WriteTable(q.app.stdout)
}

func (q *queryCommand) run() (query.Result, error) {
	fleet, err := q.app.fetchStatus()
	if err != nil {
		return query.Result{}, err
	}
	var current configuration.Configuration
	if query.NeedsConfiguration(q.Args.Statement) {
		if current, err = q.app.fetchConfiguration(); err != nil {
			return query.Result{}, err
		}
	}
	limits := query.Limits{MaxRows: q.MaxRows, Timeout: q.Timeout}
	return query.Run(context.Background(), query.Tables(fleet, current), q.Args.Statement, limits)
}
