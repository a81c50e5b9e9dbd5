package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/cli"
	"ferryspar/internal/configuration"
)

// Paths of the admin API.
const (
	pathConfiguration = "/ferryspar/config"
	pathDrainZone     = "/ferryspar/drain-zone/" // followed by the zone
	pathPurges        = "/ferryspar/forget"
	pathRehearsal     = "/ferryspar/rehearsal"
	pathRetention     = "/ferryspar/retention"
	pathStatus        = "/ferryspar/status"
)

// errNoControlPlane is returned by commands that need a control plane if no address is given.
var errNoControlPlane = cli.NewUsageError(errors.New("give the address of a control plane with -c, --control"))

// apiRequest is a request of the admin API.
type apiRequest struct {
	method, path string
	// ifMatch, if not empty, is the revision that the configuration must have for the change to be accepted.
	ifMatch string
	body    []byte
}

// rejectedError is a control plane's conclusive rejection of a request.
type rejectedError struct {
	response adminapi.Response
}

// Error names the status, the control plane and its reason.
func (e rejectedError) Error() string {
	return fmt.Sprintf("rejected with status %d by %s: %s", e.response.Status, e.response.Address, e.response.Body)
}

// newClient returns a client that tries the addresses in turn.
func newClient(addresses []string, perAddressTimeout, timeout time.Duration) *adminapi.Client {
	return &adminapi.Client{
		Addresses:         addresses,
		HTTPClient:        adminapi.NewHTTPClient(),
		PerAddressTimeout: perAddressTimeout,
		Timeout:           timeout,
	}
}

// call tries the control planes in turn and returns the body of the first conclusive response. The error is
// errNoControlPlane, a rejectedError, or the reason why no control plane responded; in the last case a change may
// nevertheless have been made.
func (a *application) call(request apiRequest) ([]byte, error) {
	return a.callWithin(a.options.PerAddressTimeout, request)
}

// callWithin is call with the given timeout for each attempt.
func (a *application) callWithin(perAddressTimeout time.Duration, request apiRequest) ([]byte, error) {
	if len(a.options.ControlPlanes) == 0 {
		return nil, errNoControlPlane
	}
	client := newClient(a.options.ControlPlanes, perAddressTimeout, a.options.Timeout)
	response, err := client.Call(context.Background(), request.method, request.path, request.ifMatch, request.body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", request.method, request.path)
	}
	if response.Status >= http.StatusMultipleChoices {
		return nil, rejectedError{response}
	}
	return response.Body, nil
}

// get returns the body of a GET request.
func (a *application) get(path string) ([]byte, error) {
	return a.call(apiRequest{method: http.MethodGet, path: path})
}

// post sends value as JSON and returns the body of the response.
func (a *application) post(path string, value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode the body of POST %s", path)
	}
	return a.call(apiRequest{method: http.MethodPost, path: path, body: body})
}

// fetchConfiguration reads the newest configuration, with each key replaced by its digest.
func (a *application) fetchConfiguration() (configuration.Configuration, error) {
	content, err := a.get(pathConfiguration)
	if err != nil {
		return configuration.Configuration{}, err
	}
	current, err := configuration.Decode(content)
	return current.Redacted(), errors.Wrap(err, "decode the configuration")
}

// fetchStatus reads the fleet's status from the first control plane that responds.
func (a *application) fetchStatus() (adminapi.FleetStatus, error) {
	var fleet adminapi.FleetStatus
	content, err := a.get(pathStatus)
	if err != nil {
		return fleet, err
	}
	return fleet, decode("the status", content, &fleet)
}
