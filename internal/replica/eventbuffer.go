package replica

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the size of the longest event.
const maxEventBytes = 1 << 20

// EventBuffer cuts an event stream into complete events, for streams that may be resumed at another replica. The zero value
// is ready to use.
type EventBuffer struct {
	pending []byte
	// LastID is the id of the last complete event that was returned.
	LastID string

	resuming bool
}

// Feed adds bytes of the stream and returns the events that are complete with them. valid is false once an event is too long
// or doesn't follow on the stream that was resumed.
func (b *EventBuffer) Feed(content []byte) (complete []byte, valid bool) {
	b.pending = append(b.pending, content...)
	end := lastEventEnd(b.pending)
	if end < 0 {
		return nil, len(b.pending) <= maxEventBytes
	}
	complete = append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	first, last := firstAndLastID(complete)
	if b.resuming && first != "" && !follows(b.LastID, first) {
		return nil, false
	}
	if last != "" {
		b.LastID, b.resuming = last, false
	}
	return complete, len(b.pending) <= maxEventBytes
}

// Complete reports whether no part of an event is pending.
func (b *EventBuffer) Complete() bool { return len(bytes.TrimSpace(b.pending)) == 0 }

// Resume drops the part of an event that is pending. What is fed next comes from another replica, which has to go on after
// LastID.
func (b *EventBuffer) Resume() { b.pending, b.resuming = b.pending[:0], true }

// follows reports whether the event of an id may follow another. Only ids that are numbers are compared.
func follows(before, after string) bool {
	earlier, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return true
	}
	later, err := strconv.ParseUint(after, 10, 64)
	return err != nil || later > earlier
}

// eventSeparators end an event.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// lastEventEnd is where the last complete event ends, -1 without one.
func lastEventEnd(content []byte) int {
	end := -1
	for _, separator := range eventSeparators {
		if position := bytes.LastIndex(content, separator); position >= 0 {
			end = max(end, position+len(separator))
		}
	}
	return end
}

// firstAndLastID returns the first and the last id among complete events.
func firstAndLastID(content []byte) (first, last string) {
	for _, line := range bytes.Split(content, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		id, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		last = string(bytes.TrimPrefix(id, []byte(" ")))
		if first == "" {
			first = last
		}
	}
	return first, last
}
