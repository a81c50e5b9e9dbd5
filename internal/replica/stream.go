package replica

import (
	"bytes"
	"strconv"
)

const maxEventBytes = 1 << 20

// EventBuffer cuts an event stream into whole events, for streams that may be taken up at another replica.
type EventBuffer struct {
	pending []byte
	// LastID is the id of the last whole event that was returned.
	LastID string

	resuming bool
}

// Feed adds bytes of the stream and returns the whole events so far; sound is false once an event is beyond bounds.
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

// Whole tells that no part of an event is pending.
func (b *EventBuffer) Complete() bool { return len(bytes.TrimSpace(b.pending)) == 0 }

// Reset drops the part of an event that is pending. What is fed next comes from another run, which has to go on
// after LastID.
func (b *EventBuffer) Resume() { b.pending, b.resuming = b.pending[:0], true }

// follows tells whether an event may follow another. Only ids that are numbers are compared.
func follows(before, after string) bool {
	earlier, err := strconv.ParseUint(before, 10, 64)
	if err != nil {
		return true
	}
	later, err := strconv.ParseUint(after, 10, 64)
	return err != nil || later > earlier
}

func lastEventEnd(content []byte) int {
	end := -1
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if position := bytes.LastIndex(content, separator); position >= 0 && position+len(separator) > end {
			end = position + len(separator)
		}
	}
	return end
}

// firstAndLastID returns the first and the last id among whole events.
func firstAndLastID(content []byte) (first, last string) {
	for _, line := range bytes.Split(content, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		rest, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		last = string(bytes.TrimPrefix(rest, []byte(" ")))
		if first == "" {
			first = last
		}
	}
	return first, last
}
