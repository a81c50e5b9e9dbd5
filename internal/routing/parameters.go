package routing

import "time"

// Parameters are the constants of the policy. A matcher copies them when it is made. The koanf tags are
// their keys in scenario files of the emulator.
type Parameters struct {
	// BatchSize limits the number of requests of a micro-batch, and BatchWait how long the oldest of them waits
	// for the batch (IEMAS §4).
	BatchSize int           `koanf:"batchSize"`
	BatchWait time.Duration `koanf:"batchWait"`

	// QualityWeight is δ of IEMAS eq. 1, the weight of quality relative to latency, between 0 and 1.
	QualityWeight float64 `koanf:"delta"`
	// TokenCost is the cost of prefilling one prompt token at a prefill factor of 1 (π of IEMAS eq. 6).
	TokenCost float64 `koanf:"tokenPrice"`
	// CrossZoneCost is the cost of a replica in another zone.
	CrossZoneCost float64 `koanf:"crossPrice"`
	// TransferCost is the cost of transferring the KV cache of one prompt token between replicas of a zone.
	TransferCost float64 `koanf:"moveCost"`
	// InterferenceCost is the cost, for each stream at a decode replica, of a prefill there that makes the streams exceed their
	// token gap.
	InterferenceCost float64 `koanf:"interferenceCost"`

	// QueueLimit limits the number of waiting requests.
	QueueLimit int `koanf:"queueBound"`
	// LedgerLimit limits the number of entries of the prefix ledger.
	LedgerLimit int `koanf:"ledgerBound"`
	// LedgerTTL is the time to live of an entry of the ledger; 0 is unlimited.
	LedgerTTL time.Duration `koanf:"ledgerLife"`

	// HitCheckAffinity is the affinity from which cache misses are detected, and HitCheckMarginMs the least
	// difference between the predicted latencies of a hit and a miss, in ms, at which they are.
	HitCheckAffinity float64 `koanf:"hitAffinity"`
	HitCheckMarginMs float64 `koanf:"hitMargin"`

	// NodeName is this data plane's name, which is hashed to compute its shares of replicas.
	NodeName string `koanf:"daemon"`
	// WarmUpOverage and WarmUpSlack set the limit of requests in any second to a replica that is warming up:
	// coldPerS times WarmUpOverage, plus WarmUpSlack.
	WarmUpOverage float64 `koanf:"coldOverage"`
	WarmUpSlack   float64 `koanf:"coldSlack"`
	// StartedAt is when this data plane started, if an earlier incarnation may have sent requests; zero if
	// there was none.
	StartedAt time.Time `koanf:"lifeBegan"`
}

// DefaultParameters returns the parameters described in docs/design/routing-policy.md. NodeName and the
// warm-up limits come from the settings of the node.
func DefaultParameters() Parameters {
	return Parameters{
		BatchSize:        16,
		BatchWait:        10 * time.Millisecond,
		QualityWeight:    0.7,
		TokenCost:        0.00002,
		CrossZoneCost:    0.03,
		TransferCost:     0.000004,
		InterferenceCost: 0.3,
		QueueLimit:       512,
		LedgerLimit:      20000,
		HitCheckAffinity: 0.5,
		HitCheckMarginMs: 40,
		WarmUpOverage:    1,
	}
}
