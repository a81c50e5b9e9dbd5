package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/retention"
)

// retentionCommand prints or sets how long cached context may live.
type retentionCommand struct {
	Life *time.Duration `long:"life" description:"set: how long context may live, 0 for no bound"`
}

// Execute implements flags.Commander.
func (r *retentionCommand) Execute([]string) error {
	method, body := http.MethodGet, []byte(nil)
	if r.Life != nil {
		method = http.MethodPut
		body, _ = json.Marshal(map[string]int64{"lifeMs": r.Life.Milliseconds()})
	}
	content, err := call(method, adminapi.PathRetention, "", body)
	if err != nil {
		return err
	}
	if options.JSON {
		fmt.Println(string(content))
		return nil
	}
	var policy retention.Policy
	if err := json.Unmarshal(content, &policy); err != nil {
		return err
	}
	if policy.LifetimeMs == 0 {
		fmt.Println("context may live without bound")
		return nil
	}
	fmt.Println("context may live", policy.Lifetime())
	return nil
}
