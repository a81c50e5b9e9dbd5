package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// countingDisk is a disk that stores nothing and counts the bytes written and the syncs.
type countingDisk struct {
	written atomic.Int64
	syncs   atomic.Int64
}

func (d *countingDisk) List() ([]string, error) { return nil, nil }

func (d *countingDisk) SyncDirectory() error { return nil }

func (d *countingDisk) Read(string) ([]byte, error) { return nil, nil }

func (d *countingDisk) Prepare(string, int64) error { return nil }

func (d *countingDisk) Write(_ string, _ int64, content []byte) error {
	d.written.Add(int64(len(content)))
	return nil
}

func (d *countingDisk) Sync(string) error {
	d.syncs.Add(1)
	return nil
}

// countingNetwork delivers messages between acceptors without delay, and counts those that are sent to other nodes.
type countingNetwork struct {
	members   map[string]*keystore.Acceptor
	messages  atomic.Int64
	sentBytes atomic.Int64
}

func (n *countingNetwork) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	content, _ := json.Marshal(message)
	if address != message.Sender {
		n.messages.Add(1)
		n.sentBytes.Add(int64(len(content)))
	}
	return n.members[address].Call(ctx, message)
}

// benchBackends is the number of backends of largeConfiguration.
const benchBackends = 9

// largeConfiguration returns a configuration with the given numbers of models and routes, which have random names.
func largeConfiguration(models, routes int, random *rand.Rand) configuration.Configuration {
	result := configuration.Configuration{
		Revision: 1,
		Limits: configuration.Limits{
			MaxHeaderBytes:  16384,
			MaxBodyBytes:    4 << 20,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs:   15000,
		},
	}
	word := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	for backend := range benchBackends {
		runtime := &configuration.Runtime{
			Slots:           64,
			KvCacheTokens:   float64(100000 + random.IntN(50000)),
			KvTokenBytes:    163840,
			StepSize:        3,
			WeightSizeMb:    230000,
			AdapterCapacity: 8,
			LoadsPerS:       1,
		}
		for range models / benchBackends {
			runtime.Models = append(runtime.Models, configuration.Model{
				Name:          "m" + word(),
				WeightSizeMb:  65099.9,
				LoadTimeS:     5.3,
				Adapters:      random.IntN(30),
				AdapterSizeMb: 12,
			})
		}
		result.Backends = append(result.Backends, configuration.Backend{
			Name:       fmt.Sprintf("b%d%s", backend, word()),
			HealthPath: "/healthz",
			MaxConns:   360,
			ColdStartS: 3,
			ColdPerS:   12,
			Runtime:    runtime,
		})
	}
	for range routes {
		backend := result.Backends[random.IntN(benchBackends)].Name
		result.Routes = append(result.Routes, configuration.Route{
			Name:            "r-" + word(),
			Hostname:        word() + ".example",
			PathPrefix:      "/" + word() + "/",
			RouteType:       configuration.Streaming,
			TimeoutMs:       15000,
			TargetLatencyMs: 600,
			Priority:        1,
			Backend:         backend,
			RetryCount:      1,
			TokenGapMs:      300,
		})
	}
	return result
}

// startMembers starts acceptors that run until ctx is done, and returns their network and disks.
func startMembers(ctx context.Context, b *testing.B, members keystore.Membership) (*countingNetwork, []*countingDisk) {
	b.Helper()
	network := &countingNetwork{members: map[string]*keystore.Acceptor{}}
	var disks []*countingDisk
	for _, name := range members.Current {
		disk := &countingDisk{}
		wal, err := keystore.OpenWAL(disk, walSegments, maxSegmentBytes)
		assert.NilError(b, err)
		assert.NilError(b, wal.Append(keystore.BootstrapRegisters(members, 1)))
		acceptor := keystore.NewAcceptor(name, wal, keystore.AcceptorConfig{Clock: time.Now}, true)
		go acceptor.Run(ctx)
		network.members[name] = acceptor
		disks = append(disks, disk)
	}
	return network, disks
}

// warmUpChanges is more than the number of calls that the record of applied calls holds.
const warmUpChanges = 600

func BenchmarkConfigurationChange_FiveMembers(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	current := largeConfiguration(450, 350, random)
	members := keystore.Membership{Version: 1}
	for index := range 5 {
		members.Current = append(members.Current, fmt.Sprintf("10.0.0.%d:9000", index+1))
	}
	network, disks := startMembers(b.Context(), b, members)
	store := keystore.NewStore(members.Current[0], 1, network, members)
	document, err := json.Marshal(current)
	assert.NilError(b, err)
	state := &controlstate.State{Store: store, Clock: time.Now}
	condition := int64(0)
	var written controlstate.Change
	change := func() {
		current.Revision++
		current.Routes[random.IntN(len(current.Routes))].TimeoutMs = float64(1000 + random.IntN(60000))
		document, err = json.Marshal(current)
		assert.NilError(b, err)
		written, err = state.Replace(b.Context(), condition, http.MethodPut, document)
		assert.NilError(b, err)
		condition = current.Revision
	}
	for range warmUpChanges {
		change()
	}
	record, err := controlstate.DecodeConfiguration(written.Register)
	assert.NilError(b, err)
	entries := record.AppliedCalls.Entries
	bytesWritten, syncs := disks[1].written.Load(), disks[1].syncs.Load()
	messages, sent := network.messages.Load(), network.sentBytes.Load()
	changes := 0
	for b.Loop() {
		change()
		changes++
	}
	per := func(now, before int64) float64 { return float64(now-before) / float64(changes) }
	b.ReportMetric(float64(len(document)), "document-bytes")
	b.ReportMetric(float64(len(record.CompressedDocument)), "packed-bytes")
	b.ReportMetric(float64(len(entries)), "marks-bytes")
	b.ReportMetric(float64(len(written.Register.Value)), "value-bytes")
	b.ReportMetric(per(disks[1].written.Load(), bytesWritten), "disk-bytes/member")
	b.ReportMetric(per(disks[1].syncs.Load(), syncs), "syncs/member")
	b.ReportMetric(per(network.messages.Load(), messages), "messages")
	b.ReportMetric(per(network.sentBytes.Load(), sent), "sent-bytes")
}
