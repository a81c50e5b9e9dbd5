package replica

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventBuffer_PassesOnlyCompleteEvents(t *testing.T) {
	content := "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\nda"
	for size := 1; size < len(content); size++ {
		events, returned := &EventBuffer{}, strings.Builder{}
		for start := 0; start < len(content); start += size {
			complete, valid := events.Feed([]byte(content[start:min(start+size, len(content))]))
			assert.Assert(t, valid)
			returned.Write(complete)
		}
		assert.Equal(t, returned.String(), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
		assert.Equal(t, events.LastID, "2")
		assert.Assert(t, !events.Complete())
	}
}

func FuzzEventBuffer(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"), 3)
	f.Add([]byte("id:1\r\n\r\n\n\nid"), 1)
	f.Fuzz(func(t *testing.T, content []byte, size int) {
		size = max(1, min(size, 64))
		events, returned := &EventBuffer{}, []byte{}
		for start := 0; start < len(content); start += size {
			complete, valid := events.Feed(content[start:min(start+size, len(content))])
			assert.Assert(t, valid)
			returned = append(returned, complete...)
		}
		assert.Assert(t, strings.HasPrefix(string(content), string(returned)))
	})
}
