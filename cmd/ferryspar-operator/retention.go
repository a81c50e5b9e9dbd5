package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/retention"
)

// retentionCommand prints or sets the lifetime of cached context.
type retentionCommand struct {
	app *application
	// Lifetime is the new lifetime, nil to only print the present one.
	Lifetime *time.Duration `long:"life" description:"set the lifetime of cached context; 0 for no limit"`
}

// retentionRequest is the body that sets the lifetime.
type retentionRequest struct {
	LifetimeMs int64 `json:"lifeMs"`
}

// Execute prints the retention policy, after changing it if a lifetime was given.
func (r *retentionCommand) Execute([]string) error {
	content, err := r.callRetention()
	if err != nil {
		return err
	}
	if r.app.options.JSON {
		r.app.printRaw(content)
		return nil
	}
	var policy retention.Policy
	if err := decode("the retention policy", content, &policy); err != nil {
		return err
	}
	if policy.LifetimeMs == 0 {
		r.app.printLine("context may live without bound")
		return nil
	}
	r.app.printLine("context may live", policy.Lifetime())
	return nil
}

// callRetention reads or sets the policy and returns the one in effect, as JSON.
func (r *retentionCommand) callRetention() ([]byte, error) {
	if r.Lifetime == nil {
		return r.app.get(pathRetention)
	}
	body, err := json.Marshal(retentionRequest{LifetimeMs: r.Lifetime.Milliseconds()})
	if err != nil {
		return nil, errors.Wrap(err, "encode --life")
	}
	return r.app.call(apiRequest{method: http.MethodPut, path: pathRetention, body: body})
}
