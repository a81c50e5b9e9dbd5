package main

import (
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/cli"
	"ferryspar/internal/retention"
)

// errNoPurgeScope is returned if no scope is given.
var errNoPurgeScope = cli.NewUsageError(errors.New("give --model, --part or --all"))

// forgetCommand purges cached context from every node.
type forgetCommand struct {
	app        *application
	Model      string        `long:"model" description:"delete only context of this model"`
	PromptPart string        `long:"part" description:"delete only context with this prompt part id (hex)"`
	All        bool          `long:"all" description:"delete all context; required if neither --model nor --part is given"`
	List       bool          `long:"list" description:"only list the deletions and their progress"`
	Watch      bool          `long:"watch" description:"print the progress until every node has finished"`
	Limit      time.Duration `long:"limit" default:"10m" description:"timeout of --watch"`
}

// Execute starts a purge and prints its progress, or lists the purges that were started before.
func (f *forgetCommand) Execute([]string) error {
	if f.List {
		return f.list()
	}
	if f.Model == "" && f.PromptPart == "" && !f.All {
		return errNoPurgeScope
	}
	content, err := f.app.post(pathPurges, retention.Scope{Model: f.Model, PromptPart: f.PromptPart})
	if err != nil {
		return err
	}
	var status retention.Status
	if err := decode("the purge", content, &status); err != nil {
		return err
	}
	if err := f.app.printPurge(status); err != nil {
		return err
	}
	if f.Watch {
		return f.watch(status)
	}
	return nil
}

func (f *forgetCommand) list() error {
	purges, err := f.app.listPurges()
	if err != nil {
		return err
	}
	for _, status := range purges {
		if err := f.app.printPurge(status); err != nil {
			return err
		}
	}
	return nil
}

// watch prints the progress of a purge until it is complete. It returns an error if that takes longer than the limit.
func (f *forgetCommand) watch(status retention.Status) error {
	deadline := time.Now().Add(f.Limit)
	for !status.Complete {
		if time.Now().After(deadline) {
			return errors.Errorf("forget %d did not complete within the limit", status.Number)
		}
		time.Sleep(watchInterval)
		purges, err := f.app.listPurges()
		if err != nil {
			return err
		}
		for _, listed := range purges {
			if listed.Number == status.Number {
				status = listed
			}
		}
		if err := f.app.printPurge(status); err != nil {
			return err
		}
	}
	return nil
}

func (a *application) listPurges() ([]retention.Status, error) {
	content, err := a.get(pathPurges)
	if err != nil {
		return nil, err
	}
	var response struct {
		Purges []retention.Status `json:"forgets"`
	}
	return response.Purges, decode("the list of purges", content, &response)
}

func (a *application) printPurge(status retention.Status) error {
	if a.options.JSON {
		return a.printJSON(status)
	}
	counts := map[retention.State]int{}
	for _, node := range status.Nodes {
		counts[node.State]++
	}
	a.printf("forget %d (model %q part %q): %d done, %d gone, %d pending, complete %t\n",
		status.Number, status.Scope.Model, status.Scope.PromptPart,
		counts[retention.Done], counts[retention.Gone], counts[retention.Pending], status.Complete)
	for _, node := range status.Nodes {
		if node.State == retention.Pending {
			a.printf("  pending: %s %s %s\n", node.Kind, node.Node, node.Model)
		}
	}
	return nil
}
