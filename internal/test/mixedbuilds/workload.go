package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// writingTime is how long changes run before all daemons are killed.
	writingTime = 3 * time.Second
	// usageTimeout is how long the report of a window after a start may take: the window, its delay, and a change of the lease.
	usageTimeout = 40 * time.Second
	// statusTimeout is how long a control plane may take to show what is stored.
	statusTimeout = 20 * time.Second
	// keptHold and shortHold are how long locks are held without a renewal.
	keptHold  = 10 * time.Minute
	shortHold = 2 * time.Second

	keptLock    = "/ferryspar/locks/kept"
	shortLock   = "/ferryspar/locks/short"
	counter     = "/ferryspar/numbers/drawn"
	cell        = "/ferryspar/cells/group.written"
	watchGroup  = "/ferryspar/watch/group."
	configPath  = "/ferryspar/config"
	drainedZone = "west"
	tenantKey   = "mixed-builds-key"
	lifetimeMs  = "600000"
	// eventsWanted is how many events the request of fleet.stream asks for.
	eventsWanted = 8
)

// workload makes changes and remembers what was acknowledged, and what was sent without an answer.
type workload struct {
	fleet *fleet

	mutex sync.Mutex
	// revision is the newest acknowledged revision of the configuration, sentRevision the newest that was sent.
	revision, sentRevision uint64
	// drawn is the highest number that was drawn.
	drawn uint64
	// writes counts the puts of the cell; acknowledged is the newest that was acknowledged, with its entity tag.
	writes, acknowledged, entityTag uint64
	// fence is that of the lock that is kept, shortFence the highest of the one that changes hands.
	fence, shortFence uint64
	purges            int
}

func newWorkload(fleet *fleet) *workload {
	return &workload{fleet: fleet, revision: 1, sentRevision: 1}
}

// prepare stores one item of each kind.
func (w *workload) prepare() error {
	tenants := `"tenants":[{"name":"one","apiKeys":["` + tenantKey + `"],"ratePerS":100,"burst":100}]`
	if err := w.patch(`"upsert":{` + tenants + `}`); err != nil {
		return err
	}
	if _, err := w.fleet.want(200, "PUT", "/ferryspar/retention", "", `{"lifeMs":`+lifetimeMs+`}`); err != nil {
		return err
	}
	if _, err := w.fleet.want(200, "POST", "/ferryspar/forget", "", `{"model":"rare"}`); err != nil {
		return err
	}
	w.purges = 1
	if _, err := w.fleet.want(200, "POST", "/ferryspar/drain-zone/"+drainedZone, "", ""); err != nil {
		return err
	}
	granted, err := w.fleet.want(200, "POST", keptLock, "", lockBody("first", 0, keptHold))
	if err != nil {
		return err
	}
	w.fence = granted.number("fenceToken")
	if err := w.draw(); err != nil {
		return err
	}
	return w.put()
}

func lockBody(holder string, fence uint64, hold time.Duration) string {
	return fmt.Sprintf(`{"leaseHolder":%q,"fenceToken":%d,"queueHoldMs":%d}`, holder, fence, hold.Milliseconds())
}

// patch sends the next revision of the configuration, with a change.
func (w *workload) patch(change string) error {
	w.mutex.Lock()
	base := w.revision
	w.sentRevision = max(w.sentRevision, base+1)
	w.mutex.Unlock()
	body := fmt.Sprintf(`{"revision":%d,%s}`, base+1, change)
	if _, err := w.fleet.want(200, "PATCH", configPath, strconv.FormatUint(base, 10), body); err != nil {
		return err
	}
	w.mutex.Lock()
	w.revision = base + 1
	w.mutex.Unlock()
	return nil
}

// draw draws a number, which must be above all that were drawn before.
func (w *workload) draw() error {
	drawn, err := w.fleet.want(200, "POST", counter, "", "{}")
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if drawn.number("value") <= w.drawn {
		return errors.Errorf("number %d was drawn after %d", drawn.number("value"), w.drawn)
	}
	w.drawn = drawn.number("value")
	return nil
}

// put writes the cell, whatever it holds.
func (w *workload) put() error {
	w.mutex.Lock()
	w.writes++
	number := w.writes
	w.mutex.Unlock()
	written, err := w.fleet.want(200, "PUT", cell, "", fmt.Sprintf(`{"value":"write-%d"}`, number))
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.acknowledged, w.entityTag = number, written.number("entityTag")
	w.mutex.Unlock()
	return nil
}

// startWriting changes items until the returned function is called, which waits for the calls under way to fail.
func (w *workload) startWriting() (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	for _, change := range []func() error{
		w.draw,
		w.put,
		func() error { return w.patch(`"upsert":{},"remove":{}`) },
	} {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				if change() != nil {
					return
				}
			}
		})
	}
	return func() {
		close(ended)
		group.Wait()
	}
}

// check compares what is stored with what was acknowledged, makes a change of each kind, and waits for a report of usage.
func (w *workload) check(phase string, platform *platform) error {
	began := time.Now()
	before, _ := platform.newestReport()
	checks := []struct {
		name string
		run  func() error
	}{
		{"configuration", w.checkConfiguration},
		{"retention", w.checkRetention},
		{"drained zone", w.checkDrainedZone},
		{"kept lock", w.checkKeptLock},
		{"number", w.draw},
		{"cell", w.checkCell},
		{"streams", w.checkStreams},
		{"usage", func() error { return checkUsage(platform, before) }},
	}
	for _, check := range checks {
		if err := check.run(); err != nil {
			return errors.Wrap(err, check.name)
		}
	}
	newest, _ := platform.newestReport()
	fmt.Printf("%s: configuration %d, number %d, cell write %d (tag %d), fence %d, usage window %d: as acknowledged (%.1f s)\n",
		phase, w.revision, w.drawn, w.acknowledged, w.entityTag, w.fence, newest, time.Since(began).Seconds())
	return nil
}

func (w *workload) checkConfiguration() error {
	read, err := w.fleet.want(200, "GET", configPath, "", "")
	if err != nil {
		return err
	}
	revision := read.number("revision")
	if revision < w.revision || revision > w.sentRevision {
		return errors.Errorf("revision %d, acknowledged %d, sent %d", revision, w.revision, w.sentRevision)
	}
	if !strings.Contains(string(read.body), tenantKey) || !strings.Contains(string(read.body), `"report"`) {
		return errors.Errorf("items are missing: %s", read.body)
	}
	w.revision, w.sentRevision = revision, revision
	if err := w.patch(`"upsert":{}`); err != nil {
		return err
	}
	stale := fmt.Sprintf(`{"revision":%d}`, w.revision+1)
	_, err = w.fleet.want(412, "PATCH", configPath, strconv.FormatUint(w.revision-1, 10), stale)
	return err
}

func (w *workload) checkRetention() error {
	policy, err := w.fleet.want(200, "GET", "/ferryspar/retention", "", "")
	if err != nil {
		return err
	}
	if policy.field("lifeMs") != lifetimeMs {
		return errors.Errorf("policy %s", policy.body)
	}
	read, err := w.fleet.want(200, "GET", "/ferryspar/forget", "", "")
	if err != nil {
		return err
	}
	var listed struct {
		Forgets []json.RawMessage `json:"forgets"`
	}
	if err := json.Unmarshal(read.body, &listed); err != nil || len(listed.Forgets) != w.purges {
		return errors.Errorf("purges %s", read.body)
	}
	return nil
}

func (w *workload) checkDrainedZone() error {
	deadline := time.Now().Add(statusTimeout)
	for {
		status, err := w.fleet.want(200, "GET", "/ferryspar/status", "", "")
		if err != nil {
			return err
		}
		if strings.Contains(status.field("drainedZones"), drainedZone) {
			break
		}
		if time.Now().After(deadline) {
			return errors.Errorf("drained zones %s", status.field("drainedZones"))
		}
		time.Sleep(pollInterval)
	}
	for _, method := range []string{"DELETE", "POST"} {
		if _, err := w.fleet.want(200, method, "/ferryspar/drain-zone/"+drainedZone, "", ""); err != nil {
			return err
		}
	}
	return nil
}

func (w *workload) checkKeptLock() error {
	if _, err := w.fleet.want(409, "POST", keptLock, "", lockBody("other", 0, keptHold)); err != nil {
		return err
	}
	_, err := w.fleet.want(200, "PUT", keptLock, "", lockBody("first", w.fence, keptHold))
	return err
}

func (w *workload) checkCell() error {
	read, err := w.fleet.want(200, "GET", cell, "", "")
	if err != nil {
		return err
	}
	number, _ := strconv.ParseUint(strings.TrimPrefix(read.field("value"), "write-"), 10, 64)
	if number < w.acknowledged || number > w.writes || read.number("entityTag") < w.entityTag {
		return errors.Errorf("%s, acknowledged %d (tag %d), sent %d", read.body, w.acknowledged, w.entityTag, w.writes)
	}
	before := read.number("entityTag")
	if err := w.put(); err != nil {
		return err
	}
	if _, err := w.fleet.want(412, "PUT", cell, "", fmt.Sprintf(`{"value":"stale","expectedCount":%d}`, before)); err != nil {
		return err
	}
	watched, err := w.fleet.want(200, "GET", fmt.Sprintf("%s?after=%d&waitMs=1000", watchGroup, before), "", "")
	if err == nil && !strings.Contains(string(watched.body), fmt.Sprintf("write-%d", w.acknowledged)) {
		err = errors.Errorf("watch after %d: %s", before, watched.body)
	}
	return err
}

func (w *workload) checkStreams() error {
	for _, edge := range w.fleet.edges {
		for range 4 {
			events, err := w.fleet.stream(edge, tenantKey)
			if err != nil {
				return errors.Wrap(err, edge)
			}
			if events != eventsWanted {
				return errors.Errorf("%s: %d of %d events", edge, events, eventsWanted)
			}
		}
		if _, err := w.fleet.stream(edge, "unknown"); err == nil || !strings.Contains(err.Error(), "401") {
			return errors.Errorf("%s: an unknown key was not answered with 401: %v", edge, err)
		}
	}
	return nil
}

// checkUsage waits until a window after the given one is reported; no window may be reported with two counts.
func checkUsage(platform *platform, before uint64) error {
	deadline := time.Now().Add(usageTimeout)
	for {
		newest, changed := platform.newestReport()
		if len(changed) > 0 {
			return errors.Errorf("windows %v were reported with different counts", changed)
		}
		if newest > before {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("no window after %d was reported within %s", before, usageTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// checkTakeover kills each control plane in turn: the others take over its items and leases, and it comes back.
func (w *workload) checkTakeover(phase string) error {
	for _, node := range controlNodes {
		if err := w.checkLossOf(node); err != nil {
			return errors.Wrap(err, "loss of "+node)
		}
	}
	fmt.Printf("%s: each control plane lost and back, fence of the short lock %d\n", phase, w.shortFence)
	return nil
}

func (w *workload) checkLossOf(node string) error {
	lost := w.fleet.daemons[node]
	if err := w.acquireShort("before the loss of " + node); err != nil {
		return err
	}
	lost.kill()
	for _, change := range []func() error{w.draw, w.put, w.checkKeptLock, w.checkConfiguration} {
		if err := change(); err != nil {
			return err
		}
	}
	if err := w.acquireShort("after the loss of " + node); err != nil {
		return err
	}
	if err := lost.start(lost.programs); err != nil {
		return err
	}
	return w.checkStreams()
}

// acquireShort takes the short lock for another holder as soon as it is free; the fence must have risen.
func (w *workload) acquireShort(holder string) error {
	deadline := time.Now().Add(callTimeout)
	for {
		granted, err := w.fleet.call("POST", shortLock, "", lockBody(holder, 0, shortHold))
		if err != nil {
			return err
		}
		if granted.status == 200 {
			fence := granted.number("fenceToken")
			if fence <= w.shortFence {
				return errors.Errorf("fence %d after %d", fence, w.shortFence)
			}
			w.shortFence = fence
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("short lock not free within %s: %d %s", callTimeout, granted.status, granted.body)
		}
		time.Sleep(pollInterval)
	}
}
