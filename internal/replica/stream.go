package replica

import "bytes"

const eventBound = 1 << 20

type Events struct {
	pending []byte
	LastID  string
}

func (e *Events) Feed(content []byte) (whole []byte, sound bool) {
	e.pending = append(e.pending, content...)
	end := lastBreak(e.pending)
	if end < 0 {
		return nil, len(e.pending) <= eventBound
	}
	whole = append([]byte(nil), e.pending[:end]...)
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if identity := lastIdentity(whole); identity != "" {
		e.LastID = identity
	}
	return whole, len(e.pending) <= eventBound
}

func (e *Events) Whole() bool { return len(bytes.TrimSpace(e.pending)) == 0 }

func (e *Events) Reset() { e.pending = e.pending[:0] }

func lastBreak(content []byte) int {
	end := -1
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if position := bytes.LastIndex(content, mark); position >= 0 && position+len(mark) > end {
			end = position + len(mark)
		}
	}
	return end
}

func lastIdentity(content []byte) string {
	identity := ""
	for _, line := range bytes.Split(content, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			identity = string(bytes.TrimPrefix(rest, []byte(" ")))
		}
	}
	return identity
}
