// Package query answers SQL queries about the state of the fleet. It copies the state into tables of an in-memory database that
// exists for one query.
//
// It works on state that its caller fetched from the control plane: it sends no requests and changes nothing. Start reading at
// Run; the tables are in tables.go.
package query

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	_ "modernc.org/sqlite" // registers the database/sql driver driverName
)

const (
	driverName     = "sqlite"
	memoryDatabase = ":memory:"
)

// Errors of statements that Run rejects without running them.
var (
	// ErrNotSelect is returned for a statement that starts with neither SELECT nor WITH.
	ErrNotSelect = errors.New("only SELECT (or WITH ... SELECT) can be asked")
	// ErrMultipleStatements is returned for a statement with a semicolon before its end.
	ErrMultipleStatements = errors.New("one statement at a time, without semicolons")
)

// Limits limits the cost of one query.
type Limits struct {
	// MaxRows is the number of rows after which the result is truncated.
	MaxRows int
	// Timeout bounds the time for filling the tables and running the statement.
	Timeout time.Duration
}

// Run loads the tables into an in-memory database and runs one SELECT statement on them. The error for an unknown table or column
// lists the existing ones.
func Run(ctx context.Context, tables []Table, statement string, limits Limits) (Result, error) {
	statement, err := validateSelect(statement)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, limits.Timeout)
	defer cancel()
	database, err := sql.Open(driverName, memoryDatabase)
	if err != nil {
		return Result{}, errors.Wrap(err, "open the database in memory")
	}
	defer database.Close()
	// Each connection to an in-memory database opens a separate, empty database.
	database.SetMaxOpenConns(1)
	if err := createTables(ctx, database, tables); err != nil {
		return Result{}, errors.Wrap(err, "fleet's state")
	}
	result, err := runSelect(ctx, database, statement, limits.MaxRows)
	if err != nil && ctx.Err() != nil {
		return Result{}, errors.Errorf("stopped: the query took longer than %s", limits.Timeout)
	}
	return result, withSchemaHint(err, tables)
}

// validateSelect returns the statement without its final semicolon, or an error if it is not a single SELECT. It only makes
// errors clearer: writes are prevented by the database, which createTables makes read-only.
func validateSelect(statement string) (string, error) {
	statement = strings.TrimRight(strings.TrimSpace(statement), "; \n\t")
	keyword, _, _ := strings.Cut(strings.ToUpper(statement), " ")
	keyword, _, _ = strings.Cut(keyword, "\n")
	if keyword != "SELECT" && keyword != "WITH" {
		return "", ErrNotSelect
	}
	if strings.Contains(statement, ";") {
		return "", ErrMultipleStatements
	}
	return statement, nil
}

// createTables creates and fills the tables, and then makes the connection read-only.
func createTables(ctx context.Context, database *sql.DB, tables []Table) error {
	for _, table := range tables {
		if err := createTable(ctx, database, table); err != nil {
			return errors.Wrapf(err, "table %s", table.Name)
		}
	}
	_, err := database.ExecContext(ctx, "PRAGMA query_only = ON")
	return err
}

func createTable(ctx context.Context, database *sql.DB, table Table) error {
	create := fmt.Sprintf("CREATE TABLE %s (%s)", table.Name, strings.Join(table.Columns, ", "))
	if _, err := database.ExecContext(ctx, create); err != nil {
		return err
	}
	placeholders := strings.TrimSuffix(strings.Repeat("?, ", len(table.Columns)), ", ")
	insert, err := database.PrepareContext(ctx, fmt.Sprintf("INSERT INTO %s VALUES (%s)", table.Name, placeholders))
	if err != nil {
		return err
	}
	defer insert.Close()
	for _, row := range table.Rows {
		if _, err := insert.ExecContext(ctx, row...); err != nil {
			return err
		}
	}
	return nil
}

// runSelect runs the statement and reads up to maxRows rows.
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
		row := make([]any, len(result.Columns))
		targets := make([]any, len(result.Columns))
		for index := range row {
			targets[index] = &row[index]
		}
		if err := rows.Scan(targets...); err != nil {
			return Result{}, err
		}
		result.Rows = append(result.Rows, row)
	}
	return result, rows.Err()
}

// withSchemaHint adds the existing tables and columns to an error about an unknown one, and returns other errors unchanged.
func withSchemaHint(err error, tables []Table) error {
	if err == nil {
		return nil
	}
	message := err.Error()
	if !strings.Contains(message, "no such table") && !strings.Contains(message, "no such column") {
		return err
	}
	var schema []string
	for _, table := range tables {
		schema = append(schema, fmt.Sprintf("  %s (%s)", table.Name, strings.Join(table.Columns, ", ")))
	}
	return fmt.Errorf("%w; there are:\n%s", err, strings.Join(schema, "\n"))
}
