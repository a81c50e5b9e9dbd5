package routing

import "time"

// Parameters are the constants of the policy. A matcher copies them when it is made.
type Parameters struct {
	BatchSize    int           // requests decided together at most
	BatchWait    time.Duration // from the oldest request of a batch
	Delta        float64       // δ of eq. 1: weight of quality against latency
	TokenPrice   float64       // cost of reading one prompt token at pace 1
	CrossPrice   float64       // cost of a replica in another zone
	LateWorth    float64       // worth of an answer after the aim, of one in time
	QueueBound   int           // requests that wait at most
	LedgerBound  int           // entries of the ledger at most
	LedgerLife   time.Duration // of an entry of the ledger; 0 for no bound
	LatencyBound float64       // the latency term counts this many aims at most
	HitAffinity  float64       // affinity from which a miss of the cache is looked for
	HitMargin    float64       // ms between a predicted hit and miss for the two to be distinguished
	Daemon       string        // this data plane's name, hashed for its shares
	ColdOverage  float64       // factor of coldPerS in the bound of one second
	ColdSlack    float64       // requests above that in the bound of one second
	LifeBegan    time.Time     // of a data plane that may have sent requests in a life before; or zero
}

// DefaultParameters are those of the policy in docs/design/routing-policy.md. Daemon and the cold bounds come from
// the settings of the node.
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
