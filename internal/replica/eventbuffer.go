package replica

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

// EventBuffer splits a stream of server-sent events into complete events, for streams that may be resumed at another replica.
// The zero value is ready to use.
type EventBuffer struct {
	// pending holds the bytes after the last complete event.
	pending []byte
	// LastID is the id of the last complete event that was returned.
	LastID string

	// resuming is set until the first event with an id after Resume.
	resuming bool
}

// Feed appends bytes of the stream and returns the events that they complete. valid is false if an event is too long, or if a
// resumed stream does not continue after LastID.
func (b *EventBuffer) Feed(content []byte) (complete []byte, valid bool) {
	b.pending = append(b.pending, content...)
	end := lastEventEnd(b.pending)
	if end < 0 {
		return nil, len(b.pending) <= maxEventBytes
	}
	complete = append([]byte(nil), b.pending[:end]...)
	b.pending = append(b.pending[:0], b.pending[end:]...)
	first, last := firstAndLastID(complete)
	if b.resuming && first != "" && !mayFollow(b.LastID, first) {
		return nil, false
	}
	if last != "" {
		b.LastID, b.resuming = last, false
	}
	return complete, len(b.pending) <= maxEventBytes
}

// Complete reports whether no partial event is pending.
func (b *EventBuffer) Complete() bool { return len(bytes.TrimSpace(b.pending)) == 0 }

// Resume discards a pending partial event. The bytes fed next come from another replica, whose stream must continue after
// LastID.
func (b *EventBuffer) Resume() { b.pending, b.resuming = b.pending[:0], true }

// mayFollow reports whether an event with the id after may follow one with the id before. Only numeric ids are compared; any
// other id is accepted.
func mayFollow(before, after string) bool {
	earlier, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return true
	}
	later, err := strconv.ParseUint(after, 10, 64)
	return err != nil || later > earlier
}

// eventSeparators are the byte sequences that end an event.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// lastEventEnd returns the offset after the last complete event, or -1 if there is none.
func lastEventEnd(content []byte) int {
	end := -1
	for _, separator := range eventSeparators {
		if position := bytes.LastIndex(content, separator); position >= 0 {
			end = max(end, position+len(separator))
		}
	}
	return end
}

// firstAndLastID returns the first and the last event id in the content.
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
