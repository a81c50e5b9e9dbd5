// Package nodesettings reads and validates the settings file of a node, and reloads it when it changes.
//
// Times are plain numbers in the file; Milliseconds and Seconds convert them to durations. Start reading at Load and Settings.
package nodesettings

import (
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/pkg/errors"
)

// PathEnvVar is the environment variable with the path of the settings file, used if no option specifies it.
const PathEnvVar = "FERRYSPAR_SETTINGS"

// Service is an external service of a node.
type Service string

// The services, by their names in the settings file.
const (
	ServiceDataPlane    Service = "edge"    // serves requests of clients
	ServiceControlPlane Service = "control" // serves replicas and operators
)

// The duties towards the platform, by their names in the settings file.
const (
	DutyUsage     = "usage_report" // report the request counts of tenants per window
	DutyAutoscale = "autoscale"    // set the number of replicas per backend and zone
)

// Settings is the content of a settings file. Unknown fields of the file are ignored. A field without a documented default is
// empty or 0 if the file omits it. Informational fields describe the deployment and are not used by any program.
type Settings struct {
	// NodeName is the unique name of the node. Required.
	NodeName string `koanf:"nodeName"`
	// Role is the role of the process, MachineClass the class of its machine. Informational.
	Role         string `koanf:"role"`
	MachineClass string `koanf:"machineClass"`
	// Serves lists the services that the node may provide. Informational.
	Serves []string `koanf:"serves"`
	// IPAddress is the address at which other nodes reach this one. Required.
	IPAddress string `koanf:"ipAddress"`
	// Zone is the zone (failure domain) of the machine. Required.
	Zone string `koanf:"zone"`
	// Region is the region of Zone. Informational; Zones is used instead.
	Region string `koanf:"region"`
	// InternalPorts are the first and the last port for traffic between nodes. Two processes on the same machine share the
	// range. Required.
	InternalPorts []int `koanf:"internalPorts"`
	// SeedNodes are control-plane addresses (host:port) through which the node discovers the others. At least one is required;
	// some may be unreachable.
	SeedNodes []string `koanf:"seedNodes"`
	// Bootstrap is true only for the first start of the entire system, with empty disks. If it were true later, a node could
	// bootstrap a second keystore.
	Bootstrap bool `koanf:"bootstrap"`
	// QuorumMember is set if the machine counts towards FaultTolerance.MachineLoss. Informational.
	QuorumMember bool `koanf:"quorumMember"`
	// DataDir is the control plane's data directory. Required for ServiceControlPlane.
	DataDir string `koanf:"dataDir"`
	// HeartbeatMs is the maximum duration, in ms, of a data plane's long poll of its primary control plane. The interval of
	// heartbeats between control planes is separate. Default 1000.
	HeartbeatMs float64 `koanf:"heartbeatMs"`
	// Zones maps each zone to its region.
	Zones map[string]string `koanf:"zones"`

	BindAddresses  BindAddresses  `koanf:"bindAddresses"`
	Limits         Limits         `koanf:"limits"`
	FaultTolerance FaultTolerance `koanf:"faultTolerance"`
	TimingBounds   TimingBounds   `koanf:"timingBounds"`
	CloudAPI       CloudAPI       `koanf:"cloudApi"`
}

// Signals are the operating system signals that a node handles: Stop drains and terminates it, Hangup reloads its settings.
type Signals struct {
	Stop   <-chan os.Signal
	Hangup <-chan os.Signal
}

// BindAddresses are the addresses (host:port) to listen on, empty for services that the node does not provide.
type BindAddresses struct {
	// DataPlane is the address for requests of clients. Required for ServiceDataPlane.
	DataPlane string `koanf:"dataPlane"`
	// Readiness is the address for readiness checks of the data plane. Required for ServiceDataPlane.
	Readiness string `koanf:"readiness"`
	// ControlPlane is the address for calls of replicas and operators. Required for ServiceControlPlane.
	ControlPlane string `koanf:"controlPlane"`
}

// Limits are the resource limits of the process.
type Limits struct {
	// CPUShare is the share of one core. Informational.
	CPUShare float64 `koanf:"cpuShare"`
	// CPUCores is the number of cores. GOMAXPROCS is set to it, or to 1 if it is less.
	CPUCores int `koanf:"cpuCores"`
	// MemoryMb is the memory limit in MB above which the process is killed; 0 for no limit.
	MemoryMb float64 `koanf:"memoryMb"`
	// MaxFds is the maximum number of open file descriptors.
	MaxFds int `koanf:"maxFds"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s. Informational.
	LinkMbps float64 `koanf:"linkMbps"`
	// DiskMb is the size of the disk in MB, which determines the size of the write-ahead log.
	DiskMb float64 `koanf:"diskMb"`
}

// FaultTolerance is the number of simultaneous failures under which all guarantees still hold.
type FaultTolerance struct {
	// MachineLoss is a number of quorum members; the keystore has 2*MachineLoss+1 members.
	MachineLoss int `koanf:"machineLoss"`
	// Zones and RegionLoss are numbers of entire zones and regions. Informational.
	Zones      int `koanf:"zones"`
	RegionLoss int `koanf:"regionLoss"`
}

// TimingBounds are the bounds that the deployment guarantees or requires. Fields with suffix Ms are in milliseconds, those with
// suffix S in seconds, the others are ratios or counts.
type TimingBounds struct {
	// SeedLagS is the maximum age of the lists of control-plane addresses given to callers. Informational.
	SeedLagS float64 `koanf:"seedLagS"`
	// AddrReuseS is the minimum time before the address of a terminated replica is reused. Informational.
	AddrReuseS float64 `koanf:"addrReuseS"`
	// ContactMs is the time after which a node that receives nothing from a majority of the control planes counts as
	// partitioned. Default 3000.
	ContactMs float64 `koanf:"contactMs"`
	// AckTimeoutMs is the timeout of an operator's change for acknowledgements of data planes. Informational; default 4000.
	AckTimeoutMs float64 `koanf:"ackTimeoutMs"`
	// SyncTimeS is how long a machine still counts as failed after its recovery. Informational.
	SyncTimeS float64 `koanf:"syncTimeS"`
	// DrainMs is the time after a replica's drain notice from which no request may reach it. Informational; default 3000.
	DrainMs float64 `koanf:"drainMs"`
	// GraceS is the grace period between SIGTERM and the exit of the process. Default 8.
	GraceS float64 `koanf:"graceS"`
	// LossSlackMs is how long after its last byte an open request may still be lost. Informational.
	LossSlackMs float64 `koanf:"lossSlackMs"`
	// ConfigApplyMs is the time after the acknowledgement of a configuration within which data planes must apply it. Default
	// 2000.
	ConfigApplyMs float64 `koanf:"configApplyMs"`
	// RollbackSlackMs is how long after a configuration first takes effect an older one may still be observed. Informational.
	RollbackSlackMs float64 `koanf:"rollbackSlackMs"`
	// MaxStretchMs is the maximum by which an unstable control plane extends the time limits of configuration changes and
	// evacuations. Informational.
	MaxStretchMs float64 `koanf:"maxStretchMs"`
	// RevocationClosed makes a data plane fail closed: it rejects requests whose key may have been revoked more than RevokeMs
	// ago (docs/design/tenants.md). RevokeMs must then be above 0; its default is 5000.
	RevocationClosed bool    `koanf:"revocationClosed"`
	RevokeMs         float64 `koanf:"revokeMs"`
	// Within any BudgetPeriodS, the number of retries over all data planes is at most RetryBudgetRatio times the number of
	// requests plus RetryBudgetSlack. BudgetPeriodS is 10 by default.
	RetryBudgetRatio float64 `koanf:"retryBudgetRatio"`
	BudgetPeriodS    float64 `koanf:"budgetPeriodS"`
	RetryBudgetSlack float64 `koanf:"retryBudgetSlack"`
	// Within any QuotaWindowS, a tenant may send at most its quota times 1+QuotaOverage, plus QuotaSlack requests
	// (docs/design/quota.md). QuotaWindowS is 5 by default.
	QuotaWindowS float64 `koanf:"quotaWindowS"`
	QuotaOverage float64 `koanf:"quotaOverage"`
	QuotaSlack   float64 `koanf:"quotaSlack"`
	// In any second, a replica that is warming up receives at most coldPerS times ColdOverage plus ColdSlack requests from all
	// data planes together. ColdOverage is 1 by default.
	ColdOverage float64 `koanf:"coldOverage"`
	ColdSlack   float64 `koanf:"coldSlack"`
	// EvacuateMs is the time after the acknowledgement of a zone's evacuation from which no request may reach the zone.
	// Informational; default 5000.
	EvacuateMs float64 `koanf:"evacuateMs"`
	// RecoveryS is the time after the recovery of all machines within which requests must be served again. Informational.
	RecoveryS float64 `koanf:"recoveryS"`
	// UsageWindowS is the length, in s, of the windows in which the requests of tenants are counted, UsageDelayS the time after
	// the end of a window at which its report is due. Required for DutyUsage.
	UsageWindowS float64 `koanf:"usageWindowS"`
	UsageDelayS  float64 `koanf:"usageDelayS"`
	// UsageError is the maximum relative error of a count. Informational.
	UsageError float64 `koanf:"usageError"`
	// HistoryS is how long, in s, applications may resume a watch from a revision that they received
	// (docs/design/coordination.md). Default 20.
	HistoryS float64 `koanf:"historyS"`
	// IdleUnloadMs is how long, in ms, a lock may stay unavailable after its expiry or after the control plane has stabilized.
	// Informational.
	IdleUnloadMs float64 `koanf:"idleUnloadMs"`
	// StepTimeMs is the maximum delay that forwarding adds to an event of a stream. Informational.
	StepTimeMs float64 `koanf:"stepTimeMs"`
	// Fencing is set if replicas check the fencing token of orders. Informational: orders always have one.
	Fencing bool `koanf:"fencing"`
	// LeaseMs is how long, in ms, a new placement lease holder waits for the previous holder's grant to expire; a grant lasts
	// half of it. Default 3000.
	LeaseMs float64 `koanf:"leaseMs"`
	// ThawSlackMs is how long after a pause of its sender an outdated order may still arrive. Informational.
	ThawSlackMs float64 `koanf:"thawSlackMs"`
	// Within any OriginPeriodS, the number of loads from the model store is at most loadsPerS times OriginPeriodS times
	// OriginOverage, plus 3 (docs/design/load-budget.md). The control plane stays one below that. OriginPeriodS is 5 by
	// default, OriginOverage 1; less counts as 1.
	OriginPeriodS float64 `koanf:"originPeriodS"`
	OriginOverage float64 `koanf:"originOverage"`
}

// CloudAPI is the address of the platform's API and the rate limits of calls to it.
type CloudAPI struct {
	// Address is host:port. Required.
	Address string `koanf:"address"`
	// RatePerS is the rate limit in calls per second over all nodes. Default 10.
	RatePerS float64 `koanf:"ratePerS"`
	// Duties lists the calls that the platform requires from one control plane at a time: DutyUsage, DutyAutoscale. Others are
	// ignored.
	Duties []string `koanf:"duties"`
	// DutyPerS is the rate limit of these calls per second over all nodes. Default 1.
	DutyPerS float64 `koanf:"dutyPerS"`
	// MaxLagMs is the maximum age of the list when it is read. Default 1000.
	MaxLagMs float64 `koanf:"maxLagMs"`
}

// HasDuty reports whether Duties contains the duty.
func (c CloudAPI) HasDuty(duty string) bool { return slices.Contains(c.Duties, duty) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Seconds converts a number of seconds to a duration.
func Seconds(value float64) time.Duration { return Milliseconds(value * 1000) }

// Load reads the settings file at path or, if path is empty, at the path in PathEnvVar. It does not validate the settings; see
// Settings.Validate.
func Load(path string) (Settings, error) {
	if path == "" {
		path = os.Getenv(PathEnvVar)
	}
	if path == "" {
		return Settings{}, errors.Errorf("no settings file: name one with --settings or in %s", PathEnvVar)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings file")
	}
	return Parse(content)
}

// Parse decodes settings from TOML, with defaults for missing fields.
func Parse(content []byte) (Settings, error) {
	tree := koanf.New("\x00")
	if err := tree.Load(rawbytes.Provider(content), toml.Parser()); err != nil {
		return Settings{}, errors.Wrap(err, "settings cannot be read")
	}
	settings := defaults()
	if err := tree.Unmarshal("", &settings); err != nil {
		return Settings{}, errors.Wrap(err, "settings cannot be read")
	}
	return settings, nil
}

func defaults() Settings {
	return Settings{
		HeartbeatMs: 1000,
		TimingBounds: TimingBounds{
			ContactMs:     3000,
			AckTimeoutMs:  4000,
			DrainMs:       3000,
			GraceS:        8,
			ConfigApplyMs: 2000,
			RevokeMs:      5000,
			BudgetPeriodS: 10,
			QuotaWindowS:  5,
			ColdOverage:   1,
			EvacuateMs:    5000,
			HistoryS:      20,
			LeaseMs:       3000,
			OriginPeriodS: 5,
			OriginOverage: 1,
		},
		CloudAPI: CloudAPI{
			RatePerS: 10,
			MaxLagMs: 1000,
		},
	}
}

// PeerAddress returns the address at which this node serves other nodes.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IPAddress, fmt.Sprint(s.InternalPorts[0]))
}

// PeerAddresses returns all addresses at which this node may serve other nodes, from the last port to the first.
func (s Settings) PeerAddresses() []string {
	var addresses []string
	for port := s.InternalPorts[1]; port >= s.InternalPorts[0]; port-- {
		addresses = append(addresses, net.JoinHostPort(s.IPAddress, fmt.Sprint(port)))
	}
	return addresses
}

// PeerAddressOf returns the peer address of the node with the given control address, empty if that is not a valid address.
func (s Settings) PeerAddressOf(controlAddress string) string {
	host, _, err := net.SplitHostPort(controlAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, fmt.Sprint(s.InternalPorts[0]))
}

// SeedPeers returns the peer addresses of the seed nodes.
func (s Settings) SeedPeers() []string {
	var peers []string
	for _, seed := range s.SeedNodes {
		if peer := s.PeerAddressOf(seed); peer != "" {
			peers = append(peers, peer)
		}
	}
	return peers
}
