// Package query answers SQL queries about the fleet's state, over tables that are filled for one query.
//
// It reads the status that a control plane returned and changes nothing. Start reading at Run.
package query

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	_ "modernc.org/sqlite" // registers the driver "sqlite"
)

// Limits bound a query: the rows returned and the time taken.
type Limits struct {
	MaxRows int
	Timeout time.Duration
}

// Result is an answer. Truncated tells that there were more rows than the limit.
type Result struct {
	Columns   []string
	Rows      [][]any
	Truncated bool
}

// Run loads the tables into a database in memory and runs one SELECT statement on it.
func Run(ctx context.Context, tables []Table, statement string, limits Limits) (Result, error) {
	statement, err := validateSelect(statement)
	if err != nil {
		return Result{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, limits.Timeout)
	defer cancel()
	database, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return Result{}, err
	}
	defer database.Close()
	database.SetMaxOpenConns(1)
	if err := createTables(bounded, database, tables); err != nil {
		return Result{}, errors.Wrap(err, "fleet's state")
	}
	result, err := runSelect(bounded, database, statement, limits.MaxRows)
	if err != nil && bounded.Err() != nil {
		return Result{}, errors.Errorf("stopped: the query took longer than %s", limits.Timeout)
	}
	return result, withSchemaHint(err, tables)
}

// validateSelect returns the statement without its end, and fails unless it is one SELECT.
func validateSelect(statement string) (string, error) {
	statement = strings.TrimRight(strings.TrimSpace(statement), "; \n\t")
	first, _, _ := strings.Cut(strings.ToUpper(statement), " ")
	first, _, _ = strings.Cut(first, "\n")
	if first != "SELECT" && first != "WITH" {
		return "", errors.New("only SELECT (or WITH ... SELECT) can be asked")
	}
	if strings.Contains(statement, ";") {
		return "", errors.New("one statement at a time, without semicolons")
	}
	return statement, nil
}

// createTables fills the tables and makes the database read-only.
func createTables(ctx context.Context, database *sql.DB, tables []Table) error {
	for _, table := range tables {
		create := fmt.Sprintf("CREATE TABLE %s (%s)", table.Name, strings.Join(table.Columns, ", "))
		if _, err := database.ExecContext(ctx, create); err != nil {
			return err
		}
		placeholders := strings.TrimSuffix(strings.Repeat("?, ", len(table.Columns)), ", ")
		insert, err := database.PrepareContext(ctx, fmt.Sprintf("INSERT INTO %s VALUES (%s)", table.Name, placeholders))
		if err != nil {
			return err
		}
		for _, row := range table.Rows {
			if _, err := insert.ExecContext(ctx, row...); err != nil {
				return err
			}
		}
		if err := insert.Close(); err != nil {
			return err
		}
	}
	_, err := database.ExecContext(ctx, "PRAGMA query_only = ON")
	return err
}

// runSelect reads up to maxRows rows.
func runSelect(ctx context.Context, database *sql.DB, statement string, maxRows int) (Result, error) {
	rows, err := database.QueryContext(ctx, statement)
	if err != nil {
		return Result{}, err
	}
	defer rows.Close()
	var result Result
	if result.Columns, err = rows.Columns(); err != nil {
		return Result{}, err
	}
	for rows.Next() {
		if len(result.Rows) == maxRows {
			result.Truncated = true
			return result, nil
		}
		row, targets := make([]any, len(result.Columns)), make([]any, len(result.Columns))
		for position := range row {
			targets[position] = &row[position]
		}
		if err := rows.Scan(targets...); err != nil {
			return Result{}, err
		}
		result.Rows = append(result.Rows, row)
	}
	return result, rows.Err()
}

// withSchemaHint adds the tables and columns there are to an error about a wrong one.
func withSchemaHint(err error, tables []Table) error {
	if err == nil {
		return nil
	}
	message := err.Error()
	if !strings.Contains(message, "no such table") && !strings.Contains(message, "no such column") {
		return err
	}
	var known []string
	for _, table := range tables {
		known = append(known, fmt.Sprintf("  %s (%s)", table.Name, strings.Join(table.Columns, ", ")))
	}
	return errors.Errorf("%s; there are:\n%s", message, strings.Join(known, "\n"))
}
