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

type countingDisk struct {
	written atomic.Int64
	syncs   atomic.Int64
}

func (m *countingDisk) List() ([]string, error) { return nil, nil }

func (m *countingDisk) SyncDirectory() error { return nil }

func (m *countingDisk) Read(name string) ([]byte, error) { return nil, nil }

func (m *countingDisk) Prepare(name string, size int64) error { return nil }

func (m *countingDisk) Write(name string, offset int64, content []byte) error {
	m.written.Add(int64(len(content)))
	return nil
}

func (m *countingDisk) Sync(name string) error {
	m.syncs.Add(1)
	return nil
}

type countingNetwork struct {
	members   map[string]*keystore.Acceptor
	messages  atomic.Int64
	sentBytes atomic.Int64
}

func (c *countingNetwork) Send(ctx context.Context, address string, message keystore.Message) (keystore.Reply, error) {
	content, _ := json.Marshal(message)
	if address != message.Sender {
		c.messages.Add(1)
		c.sentBytes.Add(int64(len(content)))
	}
	return c.members[address].Call(ctx, message)
}

func largeConfiguration(models, routes int, draw *rand.Rand) configuration.Configuration {
	configured := configuration.Configuration{Revision: 1, Limits: configuration.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
	word := func() string { return fmt.Sprintf("%08x", draw.Uint32()) }
	for backend := range 9 {
		runtime := &configuration.Runtime{Slots: 64, KvCacheTokens: float64(100000 + draw.IntN(50000)), KvTokenBytes: 163840, StepSize: 3, WeightSizeMb: 230000, AdapterCapacity: 8, LoadsPerS: 1}
		for range models / 9 {
			runtime.Models = append(runtime.Models, configuration.Model{Name: "m" + word(), WeightSizeMb: 65099.9, LoadTimeS: 5.3, Adapters: draw.IntN(30), AdapterSizeMb: 12})
		}
		configured.Backends = append(configured.Backends, configuration.Backend{Name: fmt.Sprintf("b%d%s", backend, word()), HealthPath: "/healthz", MaxConns: 360, ColdStartS: 3, ColdPerS: 12, Runtime: runtime})
	}
	for range routes {
		backend := configured.Backends[draw.IntN(9)].Name
		configured.Routes = append(configured.Routes, configuration.Route{Name: "r-" + word(), Hostname: word() + ".example", PathPrefix: "/" + word() + "/", RouteType: configuration.Streaming, TimeoutMs: 15000, TargetLatencyMs: 600, Priority: 1, Backend: backend, RetryCount: 1, TokenGapMs: 300})
	}
	return configured
}

// warmUpChanges is more than the memory of calls holds.
const warmUpChanges = 600

func BenchmarkConfigurationChange_FiveMembers(b *testing.B) {
	draw := rand.New(rand.NewPCG(1, 1))
	made := largeConfiguration(450, 350, draw)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wire := &countingNetwork{members: map[string]*keystore.Acceptor{}}
	members := keystore.Membership{Version: 1}
	for index := range 5 {
		members.Current = append(members.Current, fmt.Sprintf("10.0.0.%d:9000", index+1))
	}
	disks := []*countingDisk{}
	for _, name := range members.Current {
		disk := &countingDisk{}
		journal, err := keystore.OpenWAL(disk, walSegments, maxSegmentBytes)
		assert.NilError(b, err)
		assert.NilError(b, journal.Append(keystore.BootstrapRegisters(members, 1)))
		acceptor := keystore.NewAcceptor(name, journal, keystore.AcceptorConfig{Clock: time.Now}, true)
		go acceptor.Run(ctx)
		wire.members[name] = acceptor
		disks = append(disks, disk)
	}
	store := keystore.NewStore(members.Current[0], 1, wire, members)
	document, err := json.Marshal(made)
	assert.NilError(b, err)
	state := &controlstate.State{Store: store, Clock: time.Now}
	condition := int64(0)
	var written controlstate.Change
	change := func() {
		made.Revision++
		made.Routes[draw.IntN(len(made.Routes))].TimeoutMs = float64(1000 + draw.IntN(60000))
		document, err = json.Marshal(made)
		assert.NilError(b, err)
		written, err = state.Replace(ctx, condition, http.MethodPut, document)
		assert.NilError(b, err)
		condition = made.Revision
	}
	for range warmUpChanges {
		change()
	}
	record, err := controlstate.DecodeConfiguration(written.Register)
	assert.NilError(b, err)
	value := written.Register.Value
	marks := record.AppliedCalls.Entries
	bytesWritten, syncs, messages, sent := disks[1].written.Load(), disks[1].syncs.Load(), wire.messages.Load(), wire.sentBytes.Load()
	changes := 0
	for b.Loop() {
		change()
		changes++
	}
	per := func(now, before int64) float64 { return float64(now-before) / float64(changes) }
	b.ReportMetric(float64(len(document)), "document-bytes")
	b.ReportMetric(float64(len(record.Packed)), "packed-bytes")
	b.ReportMetric(float64(len(marks)), "marks-bytes")
	b.ReportMetric(float64(len(value)), "value-bytes")
	b.ReportMetric(per(disks[1].written.Load(), bytesWritten), "disk-bytes/member")
	b.ReportMetric(per(disks[1].syncs.Load(), syncs), "syncs/member")
	b.ReportMetric(per(wire.messages.Load(), messages), "messages")
	b.ReportMetric(per(wire.sentBytes.Load(), sent), "sent-bytes")
}
