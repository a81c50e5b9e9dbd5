// Package nodesettings reads and checks the settings file that each node is started with, and follows its
// changes.
//
// It never writes the file and starts nothing. Times are numbers in the file; Milliseconds and Seconds
// convert them to durations. Start reading at Load and Settings.
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

// PathEnvVar is the environment variable that names the settings file if no option does.
const PathEnvVar = "FERRYSPAR_SETTINGS"

// Service is a service of a node to the outside.
type Service string

// The services, as named in the settings file.
const (
	ServiceDataPlane    Service = "edge"    // requests of clients: the data plane
	ServiceControlPlane Service = "control" // replicas and operators: the control plane
)

// The duties at the platform, as named in the settings file.
const (
	DutyUsage     = "usage_report" // the requests of tenants, window by window
	DutyAutoscale = "autoscale"    // how many replicas of a backend a zone has
)

// Settings are the contents of a settings file. Unknown fields of the file are ignored. A field without a
// stated default is empty or 0 if the file omits it. Informational fields describe the deployment; no
// program depends on them.
type Settings struct {
	// NodeName identifies the node among all nodes. Required.
	NodeName string `koanf:"nodeName"`
	// Role and MachineClass name the role of the process and the class of its machine in the deployment.
	// Informational.
	Role         string `koanf:"role"`
	MachineClass string `koanf:"machineClass"`
	// Serves lists the services that the node may offer. Informational.
	Serves []string `koanf:"serves"`
	// IPAddress is the address at which other nodes reach this one. Required.
	IPAddress string `koanf:"ipAddress"`
	// Zone is the failure domain of the machine. Required.
	Zone string `koanf:"zone"`
	// Region is the group of zones that Zone belongs to. Informational: see Zones.
	Region string `koanf:"region"`
	// InternalPorts are the first and the last port for traffic between nodes. Required. Two processes of
	// one machine share them.
	InternalPorts []int `koanf:"internalPorts"`
	// SeedNodes are control-plane addresses (host:port) by which the node finds the others. At least one is
	// required; some may be down.
	SeedNodes []string `koanf:"seedNodes"`
	// Bootstrap is true only when the whole system starts for the first time, on empty disks. A node that
	// takes it for true later could start a second keystore.
	Bootstrap bool `koanf:"bootstrap"`
	// QuorumMember tells whether the machine counts towards FaultTolerance.MachineLoss. Informational.
	QuorumMember bool `koanf:"quorumMember"`
	// DataDir is the directory of the control plane's files. Required for ServiceControlPlane.
	DataDir string `koanf:"dataDir"`
	// HeartbeatMs is how long, in ms, the long poll of a data plane at its primary control plane may stay
	// unanswered. Heartbeats among control planes have an interval of their own. Default 1000.
	HeartbeatMs float64 `koanf:"heartbeatMs"`
	// Zones maps each zone to its region.
	Zones map[string]string `koanf:"zones"`

	BindAddresses  BindAddresses  `koanf:"bindAddresses"`
	Limits         Limits         `koanf:"limits"`
	FaultTolerance FaultTolerance `koanf:"faultTolerance"`
	TimingBounds   TimingBounds   `koanf:"timingBounds"`
	CloudAPI       CloudAPI       `koanf:"cloudApi"`
}

// Signals are the operating system's signals that a node obeys: Stop ends it after a drain, Hangup makes it
// reload its settings.
type Signals struct {
	Stop   <-chan os.Signal
	Hangup <-chan os.Signal
}

// BindAddresses are the host:port pairs to listen on, empty for what the node does not serve.
type BindAddresses struct {
	// DataPlane takes requests of clients. Required for ServiceDataPlane.
	DataPlane string `koanf:"dataPlane"`
	// Readiness answers readiness checks of the data plane. Required for ServiceDataPlane.
	Readiness string `koanf:"readiness"`
	// ControlPlane takes calls of replicas and operators. Required for ServiceControlPlane.
	ControlPlane string `koanf:"controlPlane"`
}

// Limits are the resources that the machine grants the process.
type Limits struct {
	// CPUShare is the share of one core. Informational.
	CPUShare float64 `koanf:"cpuShare"`
	// CPUCores is the count of cores; GOMAXPROCS is set to it, at least 1.
	CPUCores int `koanf:"cpuCores"`
	// MemoryMb is the memory in MB beyond which the process is killed; 0 is unlimited.
	MemoryMb float64 `koanf:"memoryMb"`
	// MaxFds is the limit of open file descriptors.
	MaxFds int `koanf:"maxFds"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s. Informational.
	LinkMbps float64 `koanf:"linkMbps"`
	// DiskMb is the size of the disk in MB; the write-ahead log is sized by it.
	DiskMb float64 `koanf:"diskMb"`
}

// FaultTolerance is what may be lost at once while all guarantees are kept.
type FaultTolerance struct {
	// MachineLoss is a count of quorum members; the keystore has 2*MachineLoss+1 members.
	MachineLoss int `koanf:"machineLoss"`
	// Zones and RegionLoss are counts of whole zones and of whole regions. Informational.
	Zones      int `koanf:"zones"`
	RegionLoss int `koanf:"regionLoss"`
}

// TimingBounds are the limits that the deployment guarantees or demands. Names ending in Ms are
// milliseconds, in S seconds, the others ratios or counts.
type TimingBounds struct {
	// SeedLagS is how old the lists of control-plane addresses given to callers may be. Informational.
	SeedLagS float64 `koanf:"seedLagS"`
	// AddrReuseS is the shortest time after which the address of a replica that has ended may be given to
	// another one. Informational.
	AddrReuseS float64 `koanf:"addrReuseS"`
	// ContactMs is the time after which a node that has heard no majority of the control plane counts as out
	// of touch. Default 3000.
	ContactMs float64 `koanf:"contactMs"`
	// AckTimeoutMs is how long an operator's change waits for acknowledgements of data planes. Informational;
	// default 4000.
	AckTimeoutMs float64 `koanf:"ackTimeoutMs"`
	// SyncTimeS is how long after its return a machine still counts as lost. Informational.
	SyncTimeS float64 `koanf:"syncTimeS"`
	// DrainMs is the time after the notice that a replica drains after which no request may arrive there.
	// Informational; default 3000.
	DrainMs float64 `koanf:"drainMs"`
	// GraceS is the time between SIGTERM and the end of the process. Default 8.
	GraceS float64 `koanf:"graceS"`
	// LossSlackMs is how late after its last byte an open request may still be lost. Informational.
	LossSlackMs float64 `koanf:"lossSlackMs"`
	// ConfigApplyMs is the time after the acknowledgement of a configuration within which data planes must
	// apply it. Default 2000.
	ConfigApplyMs float64 `koanf:"configApplyMs"`
	// RollbackSlackMs is how long after the first effect of a configuration an older one may still show.
	// Informational.
	RollbackSlackMs float64 `koanf:"rollbackSlackMs"`
	// MaxStretchMs is by how much an unsettled control plane extends the limits of configuration and
	// evacuation at most. Informational.
	MaxStretchMs float64 `koanf:"maxStretchMs"`
	// RevocationClosed makes a data plane reject requests whose key it cannot prove unrevoked within
	// RevokeMs (docs/design/tenants.md). RevokeMs must then be above 0; its default is 5000.
	RevocationClosed bool    `koanf:"revocationClosed"`
	RevokeMs         float64 `koanf:"revokeMs"`
	// Within any BudgetPeriodS, retries are at most RetryBudgetRatio times the requests plus
	// RetryBudgetSlack, over all data planes. BudgetPeriodS is 10 by default.
	RetryBudgetRatio float64 `koanf:"retryBudgetRatio"`
	BudgetPeriodS    float64 `koanf:"budgetPeriodS"`
	RetryBudgetSlack float64 `koanf:"retryBudgetSlack"`
	// Within any QuotaWindowS, the requests of a tenant may exceed its quota by the factor 1+QuotaOverage and
	// by QuotaSlack requests (docs/design/quota.md). QuotaWindowS is 5 by default.
	QuotaWindowS float64 `koanf:"quotaWindowS"`
	QuotaOverage float64 `koanf:"quotaOverage"`
	QuotaSlack   float64 `koanf:"quotaSlack"`
	// A replica that is warming up gets at most coldPerS times ColdOverage plus ColdSlack requests in any
	// second, from all data planes together. ColdOverage is 1 by default.
	ColdOverage float64 `koanf:"coldOverage"`
	ColdSlack   float64 `koanf:"coldSlack"`
	// EvacuateMs is the time after the acknowledgement of a zone's evacuation after which no request may
	// arrive there. Informational; default 5000.
	EvacuateMs float64 `koanf:"evacuateMs"`
	// RecoveryS is the time after the return of all machines within which requests must be served
	// again. Informational.
	RecoveryS float64 `koanf:"recoveryS"`
	// UsageWindowS is the length, in s, of the windows in which the requests of tenants are counted, UsageDelayS how long after the
	// end of one its report is due. Required for DutyUsage.
	UsageWindowS float64 `koanf:"usageWindowS"`
	UsageDelayS  float64 `koanf:"usageDelayS"`
	// UsageError is by which part a count may be wrong. Informational.
	UsageError float64 `koanf:"usageError"`
	// HistoryS is how long, in s, applications may go on with a watch from a revision that they were given
	// (docs/design/coordination.md). Default 20.
	HistoryS float64 `koanf:"historyS"`
	// IdleUnloadMs is how long, in ms, after its time, or after the control plane has settled, a lock may stay refused.
	// Informational.
	IdleUnloadMs float64 `koanf:"idleUnloadMs"`
	// StepTimeMs is the delay that forwarding may add to an event of a stream. Informational.
	StepTimeMs float64 `koanf:"stepTimeMs"`
	// Fencing tells whether replicas check the fencing token of orders. Informational: orders always
	// carry one.
	Fencing bool `koanf:"fencing"`
	// LeaseMs is how long, in ms, a new holder of the placement lease waits for the end of the old one's
	// grant; a grant lasts half of it. Default 3000.
	LeaseMs float64 `koanf:"leaseMs"`
	// ThawSlackMs is how long after a pause of its sender an outdated order may still arrive.
	// Informational.
	ThawSlackMs float64 `koanf:"thawSlackMs"`
	// Within any OriginPeriodS, loads from the model store are at most loadsPerS times OriginPeriodS times
	// OriginOverage plus 3 (docs/design/load-budget.md). The control plane stays one below that. OriginPeriodS is
	// 5 by default, OriginOverage 1; less counts as 1.
	OriginPeriodS float64 `koanf:"originPeriodS"`
	OriginOverage float64 `koanf:"originOverage"`
}

// CloudAPI tells where the platform's list of replicas is and how often all nodes together may call it.
type CloudAPI struct {
	// Address is host:port. Required.
	Address string `koanf:"address"`
	// RatePerS is the limit of calls per second over all nodes. Default 10.
	RatePerS float64 `koanf:"ratePerS"`
	// Duties are the calls that one control plane at a time owes the platform: DutyUsage, DutyAutoscale. Others are ignored.
	Duties []string `koanf:"duties"`
	// DutyPerS is the limit of such calls per second over all nodes. Default 1.
	DutyPerS float64 `koanf:"dutyPerS"`
	// MaxLagMs is how old the list may be when it is read. Default 1000.
	MaxLagMs float64 `koanf:"maxLagMs"`
}

// HasDuty says whether a duty is owed.
func (c CloudAPI) HasDuty(duty string) bool { return slices.Contains(c.Duties, duty) }

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Seconds converts a number of seconds to a duration.
func Seconds(value float64) time.Duration { return Milliseconds(value * 1000) }

// Load reads the settings file at path, or the one that PathVariable names if path is empty. It does not
// check the values; see Settings.Validate.
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

// Parse reads settings from TOML, with defaults for what is missing.
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

// PeerAddress returns the address at which this node answers other nodes.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IPAddress, fmt.Sprint(s.InternalPorts[0]))
}

// PeerAddresses returns all addresses at which this node may answer other nodes, from the last port to the
// first.
func (s Settings) PeerAddresses() []string {
	var addresses []string
	for port := s.InternalPorts[1]; port >= s.InternalPorts[0]; port-- {
		addresses = append(addresses, net.JoinHostPort(s.IPAddress, fmt.Sprint(port)))
	}
	return addresses
}

// PeerAddressOf returns the peer address of the node whose control address is given, empty if that is not
// an address.
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
