package routing

import "time"

// Parameters are the constants of the policy. A matcher copies them when it is made. The koanf tags are
// their keys in scenario files of the emulator.
type Parameters struct {
	// BatchSize is how many requests are decided together at most, and BatchWait how long the oldest request
	// of a micro-batch waits at most (IEMAS §4).
	BatchSize int           `koanf:"batchSize"`
	BatchWait time.Duration `koanf:"batchWait"`

	// Delta is δ of IEMAS eq. 1, the weight of quality against latency, between 0 and 1.
	Delta float64 `koanf:"delta"`
	// TokenPrice is the cost of reading one prompt token at pace 1 (π of IEMAS eq. 6).
	TokenPrice float64 `koanf:"tokenPrice"`
	// CrossPrice is the cost of a replica in another zone.
	CrossPrice float64 `koanf:"crossPrice"`
	// LateWorth is the value of an answer after the latency target, relative to one in time.
	LateWorth float64 `koanf:"lateWorth"`
	// LatencyBound is how many latency targets the latency term of the value counts at most.
	LatencyBound float64 `koanf:"latencyBound"`

	// QueueBound is how many requests wait at most.
	QueueBound int `koanf:"queueBound"`
	// LedgerBound is how many entries the prefix ledger has at most.
	LedgerBound int `koanf:"ledgerBound"`
	// LedgerLife is the time to live of an entry of the ledger; 0 is unlimited.
	LedgerLife time.Duration `koanf:"ledgerLife"`

	// HitAffinity is the affinity from which a cache miss is looked for, and HitMargin how many ms a predicted
	// hit and miss must differ to be distinguished.
	HitAffinity float64 `koanf:"hitAffinity"`
	HitMargin   float64 `koanf:"hitMargin"`

	// Daemon is this data plane's name, hashed for its shares.
	Daemon string `koanf:"daemon"`
	// ColdOverage is the factor of coldPerS in the limit of requests in one second to a replica that is
	// warming up, and ColdSlack the requests above that.
	ColdOverage float64 `koanf:"coldOverage"`
	ColdSlack   float64 `koanf:"coldSlack"`
	// LifeBegan is the start of a data plane of which an earlier incarnation may have sent requests; zero if
	// there was none.
	LifeBegan time.Time `koanf:"lifeBegan"`
}

// DefaultParameters returns the parameters described in docs/design.md, "The policy". Daemon and the warm-up
// limits come from the settings of the node.
func DefaultParameters() Parameters {
	return Parameters{
		BatchSize:    16,
		BatchWait:    10 * time.Millisecond,
		Delta:        0.7,
		TokenPrice:   0.00002,
		CrossPrice:   0.03,
		LateWorth:    0.4,
		QueueBound:   512,
		LedgerBound:  20000,
		LatencyBound: 0.6,
		HitAffinity:  0.5,
		HitMargin:    40,
		ColdOverage:  1,
	}
}
