package nodesettings

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/pinned"
)

// settingsTag is the struct tag that holds the key of a field in the settings file.
const settingsTag = "koanf"

// allSettings returns the settings in testdata/settings.toml, in which every key has a distinct value.
func allSettings() Settings {
	return Settings{
		NodeName:      "text1",
		Role:          "text2",
		MachineClass:  "text3",
		Serves:        []string{"text4a", "text4b"},
		IPAddress:     "text5",
		Zone:          "text6",
		Region:        "text7",
		InternalPorts: []int{1008, 2008},
		SeedNodes:     []string{"text9a", "text9b"},
		Bootstrap:     true,
		QuorumMember:  true,
		DataDir:       "text12",
		HeartbeatMs:   13.5,
		Zones:         map[string]string{"north": "text14"},
		BindAddresses: BindAddresses{
			DataPlane:    "text15",
			Readiness:    "text16",
			ControlPlane: "text17",
		},
		Limits: Limits{
			CPUShare: 18.5,
			CPUCores: 19,
			MemoryMb: 20.5,
			MaxFds:   21,
			LinkMbps: 22.5,
			DiskMb:   23.5,
		},
		FaultTolerance: FaultTolerance{
			MachineLoss: 24,
			Zones:       25,
			RegionLoss:  26,
		},
		TimingBounds: TimingBounds{
			SeedLagS:         27.5,
			AddrReuseS:       28.5,
			ContactMs:        29.5,
			AckTimeoutMs:     30.5,
			SyncTimeS:        31.5,
			DrainMs:          32.5,
			GraceS:           33.5,
			LossSlackMs:      34.5,
			ConfigApplyMs:    35.5,
			RollbackSlackMs:  36.5,
			MaxStretchMs:     37.5,
			RevocationClosed: true,
			RevokeMs:         39.5,
			RetryBudgetRatio: 40.5,
			BudgetPeriodS:    41.5,
			RetryBudgetSlack: 42.5,
			QuotaWindowS:     43.5,
			QuotaOverage:     44.5,
			QuotaSlack:       45.5,
			ColdOverage:      46.5,
			ColdSlack:        47.5,
			EvacuateMs:       48.5,
			RecoveryS:        49.5,
			HistoryS:         20, // default, because the file is from a version without this key
			StepTimeMs:       50.5,
			Fencing:          true,
			LeaseMs:          52.5,
			ThawSlackMs:      53.5,
			OriginPeriodS:    54.5,
			OriginOverage:    55.5,
		},
		CloudAPI: CloudAPI{
			Address:  "text56",
			RatePerS: 57.5,
			Duties:   []string{"text58a", "text58b"},
			MaxLagMs: 59.5,
		},
	}
}

// keysOf returns the keys of a table of the settings file, each with prefix and the names of its parent tables.
func keysOf(part reflect.Type, prefix string) []string {
	var keys []string
	for position := range part.NumField() {
		field := part.Field(position)
		name := prefix + field.Tag.Get(settingsTag)
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(field.Type, name+".")...)
			continue
		}
		keys = append(keys, name)
	}
	slices.Sort(keys)
	return keys
}

func TestSettings_KeysStayTheSame(t *testing.T) {
	keys := keysOf(reflect.TypeFor[Settings](), "")
	pinned.CheckFile(t, "testdata/keys.txt", []byte(strings.Join(keys, "\n")+"\n"))
}

func TestParse_ReadsEveryKeyOfAnEarlierVersion(t *testing.T) {
	content, err := os.ReadFile("testdata/settings.toml")
	assert.NilError(t, err)
	read, err := Parse(content)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, allSettings())
}

func TestParse_DistinguishesBooleanFields(t *testing.T) {
	cases := map[string]Settings{
		"bootstrap = true":                        {Bootstrap: true},
		"quorumMember = true":                     {QuorumMember: true},
		"[timingBounds]\nrevocationClosed = true": {TimingBounds: TimingBounds{RevocationClosed: true}},
		"[timingBounds]\nfencing = true":          {TimingBounds: TimingBounds{Fencing: true}},
	}
	for content, want := range cases {
		t.Run(content, func(t *testing.T) {
			read, err := Parse([]byte(content))
			assert.NilError(t, err)
			assert.Equal(t, read.Bootstrap, want.Bootstrap)
			assert.Equal(t, read.QuorumMember, want.QuorumMember)
			assert.Equal(t, read.TimingBounds.RevocationClosed, want.TimingBounds.RevocationClosed)
			assert.Equal(t, read.TimingBounds.Fencing, want.TimingBounds.Fencing)
		})
	}
}

// The values are compared in the order of their keys.
func TestParse_DefaultsStayTheSame(t *testing.T) {
	read, err := Parse(nil)
	assert.NilError(t, err)
	pinned.CheckJSON(t, "testdata/defaults.json", valuesOf(reflect.ValueOf(read), ""))
}

// valuesOf returns the values of a table of the settings by key.
func valuesOf(part reflect.Value, prefix string) map[string]any {
	values := map[string]any{}
	for position := range part.NumField() {
		name := prefix + part.Type().Field(position).Tag.Get(settingsTag)
		field := part.Field(position)
		if field.Kind() != reflect.Struct {
			values[name] = field.Interface()
			continue
		}
		for key, value := range valuesOf(field, name+".") {
			values[key] = value
		}
	}
	return values
}

func TestLoad_VariableStaysTheSame(t *testing.T) {
	t.Setenv("FERRYSPAR_SETTINGS", "testdata/settings.toml")
	read, err := Load("")
	assert.NilError(t, err)
	assert.DeepEqual(t, read, allSettings())
}
