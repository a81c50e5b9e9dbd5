package linearizability_test

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

// callResult is the result of a call as the operator knows it.
type callResult int

const (
	acknowledged callResult = iota
	// rejected is a 412: another version is current.
	rejected
	// unknown is a 5xx or no reply at all.
	unknown
)

var resultNames = [...]string{"acknowledged", "rejected", "unknown"}

// content is the variable part of the documents of the schedules: one value for each of two routes.
type content struct{ first, second int }

// callRecord is one call as observed by its operator. The interval of an acknowledged configuration spans all its attempts;
// otherwise it is that of the attempt that got the reply.
type callRecord struct {
	call           operatorCall
	condition      int64
	result         callResult
	started, ended time.Duration
	// readRevision, readContent and readDrained are what a read returned.
	readRevision int64
	readContent  content
	readDrained  bool
	// zoneVersion is the version of the zone's record that an acknowledged drain returned.
	zoneVersion uint64
	// earlierAttempts holds the times at which attempts without a definite reply were sent.
	earlierAttempts []time.Duration
	// noLateEffect means that a call with an unknown result has no effect after its end.
	noLateEffect bool
	note         string
}

func (r callRecord) String() string {
	started, ended := r.started.Round(time.Millisecond), r.ended.Round(time.Millisecond)
	text := fmt.Sprintf("%9s..%9s operator %d call %2d %s",
		started, ended, r.call.operator, r.call.number, callNames[r.call.kind])
	switch r.call.kind {
	case callPut, callPatch:
		text += fmt.Sprintf(" on %d", r.condition)
	case callGet:
		text += fmt.Sprintf(" -> revision %d %v", r.readRevision, r.readContent)
	case callDrain:
		text += fmt.Sprintf(" %s=%t", r.call.zone, r.call.drained)
	case callReadZone:
		text += fmt.Sprintf(" %s -> %t", r.call.zone, r.readDrained)
	}
	return text + " " + resultNames[r.result] + " " + r.note
}

// valueOf returns the value that a call writes into its documents. It is unique to the call.
func valueOf(call operatorCall) int { return 1000 + call.number }

// configurationState is the model state of the configuration's key. applied has a bit for each applied call.
type configurationState struct {
	revision int64
	content  content
	applied  uint64
}

func (s configurationState) after(op callRecord) configurationState {
	next := configurationState{revision: op.condition + 1, content: s.content, applied: s.applied | 1<<op.call.number}
	next.content.second = valueOf(op.call)
	if op.call.kind == callPut {
		next.content.first = valueOf(op.call)
	}
	return next
}

// stepConfiguration returns the possible states after a call on the configuration.
func stepConfiguration(state, input, _ any) []any {
	current, op := state.(configurationState), input.(callRecord)
	if op.call.kind == callGet {
		if op.readRevision == current.revision && op.readContent == current.content {
			return []any{current}
		}
		return nil
	}
	applied := current.applied&(1<<op.call.number) != 0
	fits := !applied && op.condition == current.revision
	switch {
	case op.result == rejected && !applied && !fits:
		return []any{current}
	case op.result == rejected:
		return nil
	case op.result == unknown && fits:
		return []any{current, current.after(op)}
	case op.result == unknown || applied:
		return []any{current}
	case fits:
		return []any{current.after(op)}
	}
	return nil
}

// stepZone returns the possible states after a call on a zone. The state is whether the zone is drained.
func stepZone(state, input, _ any) []any {
	current, op := state.(bool), input.(callRecord)
	switch {
	case op.call.kind == callReadZone && op.readDrained == current:
		return []any{current}
	case op.call.kind == callReadZone:
		return nil
	case op.result == unknown:
		return []any{current, op.call.drained}
	}
	return []any{op.call.drained}
}

// attempts splits a drain into its attempts. A drain does not name a version, so a retry takes effect again if another
// operator undid the previous attempt: each attempt may take effect once, until its operator has a reply. After an
// acknowledgement none may.
func (r callRecord) attempts() []callRecord {
	if r.call.kind != callDrain {
		return []callRecord{r}
	}
	var each []callRecord
	for _, started := range r.earlierAttempts {
		each = append(each, callRecord{
			call:         r.call,
			result:       unknown,
			started:      started,
			ended:        r.ended,
			noLateEffect: r.result == acknowledged,
		})
	}
	if r.result == acknowledged || len(each) == 0 {
		each = append(each, r)
	}
	return each
}

// checkHistory checks the history of each key separately: each call accesses one key, and a history is linearizable if that
// of each key is.
func checkHistory(history []callRecord) error {
	keys := map[string][]callRecord{}
	for _, record := range history {
		if record.result == unknown && (record.call.kind == callGet || record.call.kind == callReadZone) {
			continue
		}
		key := "configuration"
		if record.call.kind == callDrain || record.call.kind == callReadZone {
			key = record.call.zone
		}
		keys[key] = append(keys[key], record.attempts()...)
	}
	for _, key := range append([]string{"configuration"}, zoneNames[:]...) {
		model := porcupine.NondeterministicModel{Init: func() []any { return []any{false} }, Step: stepZone}
		if key == "configuration" {
			model = porcupine.NondeterministicModel{
				Init: func() []any { return []any{configurationState{}} },
				Step: stepConfiguration,
			}
		}
		if err := checkKey(model, key, keys[key]); err != nil {
			return err
		}
	}
	return nil
}

// errCheckTimedOut means that the checker did not finish: it neither accepted nor rejected the history.
var errCheckTimedOut = errors.New("linearizability check timed out")

// checkTimeout is the time limit of the checker for one key.
const checkTimeout = 20 * time.Second

func checkKey(model porcupine.NondeterministicModel, key string, history []callRecord) error {
	operations := make([]porcupine.Operation, 0, len(history))
	for _, record := range history {
		ended := int64(record.ended)
		if record.result == unknown && !record.noLateEffect {
			ended = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{Input: record, Call: int64(record.started), Return: ended})
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), operations, checkTimeout) {
	case porcupine.Illegal:
		return fmt.Errorf("history of %s is not linearizable:\n%s", key, formatHistory(history))
	case porcupine.Unknown:
		return errors.Wrapf(errCheckTimedOut, "history of %s, %d operations, within %s", key, len(history), checkTimeout)
	}
	return nil
}

func formatHistory(history []callRecord) string {
	sorted := append([]callRecord(nil), history...)
	sort.SliceStable(sorted, func(left, right int) bool { return sorted[left].started < sorted[right].started })
	text := ""
	for _, record := range sorted {
		text += "  " + record.String() + "\n"
	}
	return text
}
