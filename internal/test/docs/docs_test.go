package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// repository is the path of the repository's root relative to this package.
const repository = "../../.."

// recordFolders contain records of past runs and incidents, which keep the names that were in use at the time.
var recordFolders = []string{"docs/records/", "docs/incidents/", "docs/capacity/"}

// codePath matches a path of the repository in a page: a quoted name that begins with a top-level folder.
var codePath = regexp.MustCompile("`((?:cmd|internal|docs|deploy|\\.ci)/[A-Za-z0-9_./*-]+)`")

// pages returns the paths of all pages that must match the current code.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"README.md"}
	err := filepath.WalkDir(filepath.Join(repository, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(repository, path)
		if err != nil {
			return err
		}
		if strings.HasSuffix(relative, ".md") && !isRecord(relative) {
			found = append(found, relative)
		}
		return nil
	})
	assert.NilError(t, err)
	return found
}

func isRecord(page string) bool {
	return slices.ContainsFunc(recordFolders, func(folder string) bool { return strings.HasPrefix(page, folder) })
}

func TestPages_NameOnlyPathsThatExist(t *testing.T) {
	for _, page := range pages(t) {
		t.Run(page, func(t *testing.T) {
			content, err := os.ReadFile(filepath.Join(repository, page))
			assert.NilError(t, err)
			for _, match := range codePath.FindAllStringSubmatch(string(content), -1) {
				existing, err := filepath.Glob(filepath.Join(repository, match[1]))
				assert.NilError(t, err)
				assert.Check(t, len(existing) > 0, "%s names %s, which does not exist", page, match[1])
			}
		})
	}
}

// alertLevels are the logrus methods whose messages must have an entry in the runbook.
var alertLevels = map[string]bool{"Warn": true, "Error": true, "Fatal": true}

// otherLevels are the logrus methods whose messages may have an entry in the runbook.
var otherLevels = map[string]bool{"Info": true, "Debug": true}

const runbook = "docs/runbook.md"

func TestRunbook_ExplainsEveryWarningAndError(t *testing.T) {
	explained := runbookMessages(t)
	for message, position := range logMessages(t, alertLevels) {
		assert.Check(t, explained[message], "%s logs %q, which %s does not explain", position, message, runbook)
	}
}

func TestRunbook_NamesOnlyMessagesOfTheCode(t *testing.T) {
	logged := logMessages(t, alertLevels)
	for message, position := range logMessages(t, otherLevels) {
		logged[message] = position
	}
	for message := range runbookMessages(t) {
		assert.Check(t, logged[message] != "", "%s explains %q, which no program logs", runbook, message)
	}
}

// runbookRow matches a row of the message tables in the runbook, whose first cell is one quoted message.
var runbookRow = regexp.MustCompile("(?m)^\\| `([^`|]+)` \\| (?:debug|info|warning|error) \\|")

func runbookMessages(t *testing.T) map[string]bool {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repository, runbook))
	assert.NilError(t, err)
	messages := map[string]bool{}
	for _, match := range runbookRow.FindAllStringSubmatch(string(content), -1) {
		messages[match[1]] = true
	}
	assert.Assert(t, len(messages) > 0, "no table of messages in %s", runbook)
	return messages
}

// logMessages returns the constant messages that the programs log at the given levels, each with its position in the code.
func logMessages(t *testing.T, levels map[string]bool) map[string]string {
	t.Helper()
	messages := map[string]string{}
	files := token.NewFileSet()
	for _, top := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(repository, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if message, found := loggedMessage(node, levels); found {
					messages[message] = files.Position(node.Pos()).String()
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
	return messages
}

// loggedMessage returns the message of a call such as logrus.WithError(err).Warn("message").
func loggedMessage(node ast.Node, levels map[string]bool) (string, bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) != 1 {
		return "", false
	}
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod || !levels[method.Sel.Name] || !mentionsLogrus(method.X) {
		return "", false
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

// mentionsLogrus reports whether an expression contains the name of package logrus or of a variable for a logger or entry.
func mentionsLogrus(expression ast.Expr) bool {
	found := false
	ast.Inspect(expression, func(node ast.Node) bool {
		name, isName := node.(*ast.Ident)
		if isName && (name.Name == "logrus" || name.Name == "log" || name.Name == "logger" || name.Name == "entry") {
			found = true
		}
		return true
	})
	return found
}
