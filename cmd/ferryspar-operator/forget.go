package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/retention"
)

// forgetCommand orders cached context to be forgotten.
type forgetCommand struct {
	Model string        `long:"model" description:"only context of this model"`
	Part  string        `long:"part" description:"only context with this prompt part id (hex)"`
	All   bool          `long:"all" description:"all context; needed when neither model nor part is named"`
	List  bool          `long:"list" description:"only list the forgets and how far they are"`
	Watch bool          `long:"watch" description:"print progress until every node has let go"`
	Limit time.Duration `long:"limit" default:"10m" description:"watch no longer than this"`
}

// Execute implements flags.Commander.
func (f *forgetCommand) Execute([]string) error {
	if f.List {
		all, err := listForgets()
		for _, status := range all {
			printForget(status)
		}
		return err
	}
	if f.Model == "" && f.Part == "" && !f.All {
		return errors.New("name --model, --part or --all")
	}
	body, _ := json.Marshal(retention.Scope{Model: f.Model, PromptPart: f.Part})
	content, err := call(http.MethodPost, adminapi.PathForget, "", body)
	if err != nil {
		return err
	}
	var status retention.Status
	if err := json.Unmarshal(content, &status); err != nil {
		return err
	}
	printForget(status)
	if f.Watch {
		return f.watch(status)
	}
	return nil
}

// watch prints the state of an order until it is complete, and fails if that takes longer than the limit.
func (f *forgetCommand) watch(status retention.Status) error {
	for deadline := time.Now().Add(f.Limit); !status.Complete; {
		if time.Now().After(deadline) {
			return errors.Errorf("forget %d is not complete yet", status.Number)
		}
		time.Sleep(watchInterval)
		all, err := listForgets()
		if err != nil {
			return err
		}
		for _, listed := range all {
			if listed.Number == status.Number {
				status = listed
			}
		}
		printForget(status)
	}
	return nil
}

func listForgets() ([]retention.Status, error) {
	content, err := call(http.MethodGet, adminapi.PathForget, "", nil)
	if err != nil {
		return nil, err
	}
	var all struct {
		Forgets []retention.Status `json:"forgets"`
	}
	return all.Forgets, json.Unmarshal(content, &all)
}

func printForget(status retention.Status) {
	if options.JSON {
		content, _ := json.Marshal(status)
		fmt.Println(string(content))
		return
	}
	counts := map[retention.State]int{}
	for _, node := range status.Nodes {
		counts[node.State]++
	}
	fmt.Printf("forget %d (model %q part %q): %d done, %d gone, %d pending, complete %t\n",
		status.Number, status.Scope.Model, status.Scope.PromptPart,
		counts[retention.Done], counts[retention.Gone], counts[retention.Pending], status.Complete)
	for _, node := range status.Nodes {
		if node.State == retention.Pending {
			fmt.Printf("  pending: %s %s %s\n", node.Kind, node.Node, node.Model)
		}
	}
}
