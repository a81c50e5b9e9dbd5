package keystore_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"ferryspar/internal/keystore"
)

// document is the value that clients write: the labels of all changes so far. The simulated disks draw random numbers
// that depend on its length, so that a change of its JSON encoding would give every seed another schedule.
type document struct {
	Version int      `json:"version"`
	Labels  []string `json:"marks"`
}

func decodeDocument(register keystore.Register) document {
	var value document
	_ = json.Unmarshal(register.Value, &value)
	return value
}

// with returns the document after one more change.
func (d document) with(label string) document {
	return document{Version: d.Version + 1, Labels: append(slices.Clone(d.Labels), label)}
}

// call is one read or change of a client, as seen by the client.
type call struct {
	label          string
	started, ended time.Time
	// version is that of the document that was read or written.
	version      int
	read         bool
	acknowledged bool
}

// history holds all calls on one key.
type history struct {
	lock  sync.Mutex
	calls []call
}

func (h *history) add(done call) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.calls = append(h.calls, done)
}

// check compares the acknowledged calls with the final document and with each other.
func (h *history) check(final document) error {
	if err := h.checkChanges(final); err != nil {
		return err
	}
	return h.checkOrder()
}

// checkChanges returns an error if an acknowledged change is lost, or if two share a version.
func (h *history) checkChanges(final document) error {
	versions := map[int]string{}
	for _, change := range h.calls {
		if !change.acknowledged || change.read {
			continue
		}
		if other, taken := versions[change.version]; taken && other != change.label {
			return fmt.Errorf("version %d acknowledged to both %s and %s", change.version, other, change.label)
		}
		versions[change.version] = change.label
		if change.version > len(final.Labels) || final.Labels[change.version-1] != change.label {
			return fmt.Errorf("acknowledged %s at version %d is lost: %v", change.label, change.version, final.Labels)
		}
	}
	return nil
}

// checkOrder returns an error if a call that started after the end of another saw an older version.
func (h *history) checkOrder() error {
	for _, earlier := range h.calls {
		for _, later := range h.calls {
			if !earlier.acknowledged || !later.acknowledged || !earlier.ended.Before(later.started) {
				continue
			}
			if later.version < earlier.version || !later.read && later.version == earlier.version {
				return fmt.Errorf("%s (version %d) ended before %s (version %d) began",
					earlier.label, earlier.version, later.label, later.version)
			}
		}
	}
	return nil
}
