package keystore

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// countingDirectory counts the bytes and syncs of a WAL, and stores nothing.
type countingDirectory struct{ bytes, syncs int }

func (c *countingDirectory) List() ([]string, error)     { return nil, nil }
func (c *countingDirectory) SyncDirectory() error        { return nil }
func (c *countingDirectory) Read(string) ([]byte, error) { return nil, nil }
func (c *countingDirectory) Prepare(string, int64) error { return nil }
func (c *countingDirectory) Write(_ string, _ int64, content []byte) error {
	c.bytes += len(content)
	return nil
}

func (c *countingDirectory) Sync(string) error {
	c.syncs++
	return nil
}

// The length of a packed configuration is packedBaseBytes and packedBytesPerModel for each model.
const (
	packedBytesPerModel = 5
	packedBaseBytes     = 600
)

func BenchmarkWAL_AppendConfiguration(b *testing.B) {
	for _, models := range []int{28, 450, 1600} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			directory := &countingDirectory{}
			log, err := OpenWAL(directory, 3, 12<<20)
			assert.NilError(b, err)
			value, err := json.Marshal(strings.Repeat("x", packedBaseBytes+models*packedBytesPerModel))
			assert.NilError(b, err)
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				assert.NilError(b, log.Append([]Register{{
					Key:      ConfigurationKey,
					Accepted: ProposalNumber{Round: 1, Incarnation: 1},
					Sequence: sequence,
					Value:    value,
				}}))
			}
			b.ReportMetric(float64(directory.bytes)/float64(b.N), "bytes/message")
			b.ReportMetric(float64(directory.syncs)/float64(b.N), "syncs/op")
		})
	}
}
