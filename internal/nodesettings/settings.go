// Package nodesettings reads and checks the settings file that each daemon is started with, and
// follows its changes.
//
// It never writes the file and starts nothing. Times stand in the file as numbers; Milliseconds
// and Seconds turn them into durations. Start reading at Load and Settings.
package nodesettings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/knadh/koanf/parsers/toml/v2"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/pkg/errors"
)

// PathVariable is the environment variable that names the settings file where no option does.
const PathVariable = "FERRYSPAR_SETTINGS"

// Settings are the contents of a settings file. Fields the program doesn't know are passed over.
type Settings struct {
	NodeName       string            `koanf:"nodeName"`
	Role           string            `koanf:"role"`
	MachineClass   string            `koanf:"machineClass"`
	Serves         []string          `koanf:"serves"`
	IPAddress      string            `koanf:"ipAddress"`
	Zone           string            `koanf:"zone"`
	Region         string            `koanf:"region"`
	InternalPorts  []int             `koanf:"internalPorts"`
	SeedNodes      []string          `koanf:"seedNodes"`
	Bootstrap      bool              `koanf:"bootstrap"`
	QuorumMember   bool              `koanf:"quorumMember"`
	DataDir        string            `koanf:"dataDir"`
	HeartbeatMs    float64           `koanf:"heartbeatMs"`
	Zones          map[string]string `koanf:"zones"`
	BindAddresses  BindAddresses     `koanf:"bindAddresses"`
	Limits         Limits            `koanf:"limits"`
	FaultTolerance FaultTolerance    `koanf:"faultTolerance"`
	TimingBounds   TimingBounds      `koanf:"timingBounds"`
	CloudAPI       CloudAPI          `koanf:"cloudApi"`
}

// Signals are the operating system's signals that a daemon obeys: Stop ends it after a drain,
// Hangup makes it read its settings again.
type Signals struct {
	Stop   <-chan os.Signal
	Hangup <-chan os.Signal
}

// BindAddresses are the host:port pairs to listen on, empty for what the daemon doesn't serve.
type BindAddresses struct {
	DataPlane    string `koanf:"dataPlane"`
	Readiness    string `koanf:"readiness"`
	ControlPlane string `koanf:"controlPlane"`
}

// Limits is what the machine grants a process.
type Limits struct {
	CPUShare float64 `koanf:"cpuShare"`
	CPUCores int     `koanf:"cpuCores"`
	MemoryMb float64 `koanf:"memoryMb"`
	MaxFds   int     `koanf:"maxFds"`
	LinkMbps float64 `koanf:"linkMbps"`
	DiskMb   float64 `koanf:"diskMb"`
}

// FaultTolerance is what may be lost at once while every rule is kept.
type FaultTolerance struct {
	MachineLoss int `koanf:"machineLoss"`
	Zones       int `koanf:"zones"`
	RegionLoss  int `koanf:"regionLoss"`
}

// TimingBounds are the figures of the rules in force: names ending in Ms are milliseconds, in S
// seconds, the others ratios or counts.
type TimingBounds struct {
	SeedLagS         float64 `koanf:"seedLagS"`
	AddrReuseS       float64 `koanf:"addrReuseS"`
	ContactMs        float64 `koanf:"contactMs"`
	AckTimeoutMs     float64 `koanf:"ackTimeoutMs"`
	SyncTimeS        float64 `koanf:"syncTimeS"`
	DrainMs          float64 `koanf:"drainMs"`
	GraceS           float64 `koanf:"graceS"`
	LossSlackMs      float64 `koanf:"lossSlackMs"`
	ConfigApplyMs    float64 `koanf:"configApplyMs"`
	RollbackSlackMs  float64 `koanf:"rollbackSlackMs"`
	MaxStretchMs     float64 `koanf:"maxStretchMs"`
	RevocationClosed bool    `koanf:"revocationClosed"`
	RevokeMs         float64 `koanf:"revokeMs"`
	RetryBudgetRatio float64 `koanf:"retryBudgetRatio"`
	BudgetPeriodS    float64 `koanf:"budgetPeriodS"`
	RetryBudgetSlack float64 `koanf:"retryBudgetSlack"`
	QuotaWindowS     float64 `koanf:"quotaWindowS"`
	QuotaOverage     float64 `koanf:"quotaOverage"`
	QuotaSlack       float64 `koanf:"quotaSlack"`
	ColdOverage      float64 `koanf:"coldOverage"`
	ColdSlack        float64 `koanf:"coldSlack"`
	EvacuateMs       float64 `koanf:"evacuateMs"`
	RecoveryS        float64 `koanf:"recoveryS"`
	StepTimeMs       float64 `koanf:"stepTimeMs"`
	Fencing          bool    `koanf:"fencing"`
	LeaseMs          float64 `koanf:"leaseMs"`
	ThawSlackMs      float64 `koanf:"thawSlackMs"`
	OriginPeriodS    float64 `koanf:"originPeriodS"`
	OriginOverage    float64 `koanf:"originOverage"`
}

// CloudAPI says where the platform's list of replicas is and how often all daemons together may
// call it.
type CloudAPI struct {
	Address  string   `koanf:"address"`
	RatePerS float64  `koanf:"ratePerS"`
	Duties   []string `koanf:"duties"`
	MaxLagMs float64  `koanf:"maxLagMs"`
}

// Milliseconds turns a number of milliseconds into a duration.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Seconds turns a number of seconds into a duration.
func Seconds(value float64) time.Duration { return Milliseconds(value * 1000) }

// Load reads the settings file at path, or the one that PathVariable names if path is empty. It
// doesn't check the values; see Settings.Check.
func Load(path string) (Settings, error) {
	if path == "" {
		path = os.Getenv(PathVariable)
	}
	if path == "" {
		return Settings{}, errors.Errorf("no settings file: name one with --settings or in %s", PathVariable)
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
			ContactMs: 3000, AckTimeoutMs: 4000, DrainMs: 3000, GraceS: 8, ConfigApplyMs: 2000, RevokeMs: 5000,
			BudgetPeriodS: 10, QuotaWindowS: 5, ColdOverage: 1, EvacuateMs: 5000, LeaseMs: 3000, OriginPeriodS: 5, OriginOverage: 1,
		},
		CloudAPI: CloudAPI{RatePerS: 10, MaxLagMs: 1000},
	}
}

type fieldCheck struct {
	failed  bool
	message string
}

// Check returns one error that names everything a daemon serving "edge" or "control" cannot start
// with.
func (s Settings) Check(service string) error {
	checks := []fieldCheck{
		{s.NodeName == "", "nodeName is missing"},
		{net.ParseIP(s.IPAddress) == nil, fmt.Sprintf("ipAddress %q is no IP address", s.IPAddress)},
		{len(s.InternalPorts) != 2, "internalPorts must name a first and a last port"},
		{len(s.SeedNodes) == 0, "seedNodes names no daemon"},
		{s.Zone == "", "zone is missing"},
		{s.CloudAPI.Address == "", "cloudApi.address is missing"},
		{s.TimingBounds.LeaseMs <= 0, "timingBounds.leaseMs must be above 0"},
		{s.TimingBounds.ContactMs <= 0, "timingBounds.contactMs must be above 0"},
		{s.TimingBounds.RevocationClosed && s.TimingBounds.RevokeMs <= 0, "timingBounds.revokeMs must be above 0"},
		{s.TimingBounds.QuotaWindowS <= 0, "timingBounds.quotaWindowS must be above 0"},
		{s.TimingBounds.QuotaOverage < 0 || s.TimingBounds.QuotaSlack < 0, "timingBounds.quotaOverage and quotaSlack must not be below 0"},
		{s.HeartbeatMs <= 0, "heartbeatMs must be above 0"},
		{service == "edge" && s.BindAddresses.DataPlane == "", "bindAddresses.dataPlane is missing"},
		{service == "edge" && s.BindAddresses.Readiness == "", "bindAddresses.readiness is missing"},
		{service == "control" && s.BindAddresses.ControlPlane == "", "bindAddresses.controlPlane is missing"},
		{service == "control" && s.DataDir == "", "dataDir is missing"},
	}
	if len(s.InternalPorts) == 2 && (s.InternalPorts[0] <= 0 || s.InternalPorts[1] < s.InternalPorts[0] || s.InternalPorts[1] > 65535) {
		checks = append(checks, fieldCheck{true, "internalPorts must rise and lie between 1 and 65535"})
	}
	for _, seed := range s.SeedNodes {
		_, _, err := net.SplitHostPort(seed)
		checks = append(checks, fieldCheck{err != nil, fmt.Sprintf("seedNodes: %q is no address", seed)})
	}
	var messages []string
	for _, fieldCheck := range checks {
		if fieldCheck.failed {
			messages = append(messages, fieldCheck.message)
		}
	}
	if len(messages) > 0 {
		return errors.New("settings: " + strings.Join(messages, "; "))
	}
	return nil
}

// PeerAddress returns the address at which this daemon answers other daemons.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IPAddress, fmt.Sprint(s.InternalPorts[0]))
}

// PeerAddresses returns all addresses at which this daemon may answer other daemons, from the last port to the first.
func (s Settings) PeerAddresses() []string {
	var addresses []string
	for port := s.InternalPorts[1]; port >= s.InternalPorts[0]; port-- {
		addresses = append(addresses, net.JoinHostPort(s.IPAddress, fmt.Sprint(port)))
	}
	return addresses
}

// PeerAddressOf returns the peer address of the daemon whose control address is given, empty if
// that is no address.
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
