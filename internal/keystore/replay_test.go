package keystore_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

func TestSchedule_SameSeedReplaysExactly(t *testing.T) {
	from, to := keystoresim.SeedRange(12)
	for seed := from; seed < to; seed++ {
		var histories [2]string
		for turn := range histories {
			synctest.Test(t, func(t *testing.T) {
				reports, err := schedule{
					seed:   uint64(seed),
					faults: []keystoresim.Fault{keystoresim.RestartFaults, keystoresim.LinkFaults, keystoresim.DiskFaults},
				}.run()
				assert.NilError(t, err)
				histories[turn] = reports[keystore.ConfigurationKey].print()
			})
		}
		assert.Assert(t, histories[0] == histories[1], "FERRYSPAR_SEED=%d plays in two ways", seed)
	}
}
