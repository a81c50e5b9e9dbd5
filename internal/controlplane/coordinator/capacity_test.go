package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
)

func lockNamed(name string) coordination.Call {
	return coordination.Call{Operation: coordination.OperationAcquire, Kind: coordination.KindLock, Name: name}
}

func TestCapacity_LimitsNewItemsAndAdmitsExistingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registers := map[string]keystore.Register{}
		add := func(name string, size int) {
			key := storeKey(lockNamed(name))
			registers[key] = keystore.Register{Key: key, Value: make([]byte, size)}
		}
		capacity := NewCapacity(func() map[string]keystore.Register { return registers }, 1000, time.Now)
		add("first", 10)
		assert.Assert(t, capacity.Admits(lockNamed("first")) && capacity.Admits(lockNamed("second")))
		add("large", 1000)
		time.Sleep(2 * countInterval)
		assert.Assert(t, capacity.Admits(lockNamed("first")) && !capacity.Admits(lockNamed("second")))
		delete(registers, storeKey(lockNamed("large")))
		for number := range MaxItems {
			add(fmt.Sprint(number), 0)
		}
		capacity.maxBytes = 1 << 30
		time.Sleep(2 * countInterval)
		assert.Assert(t, capacity.Admits(lockNamed("first")) && !capacity.Admits(lockNamed("second")))
	})
}

func TestItemSummaries_ListItemsOnly(t *testing.T) {
	key := storeKey(lockNamed("l1"))
	summaries := ItemSummaries(map[string]keystore.Register{
		key:                       {Key: key, Promised: keystore.ProposalNumber{Round: 1, Proposer: "a"}, Value: []byte(`{}`)},
		keystore.ConfigurationKey: {Key: keystore.ConfigurationKey},
	})
	assert.DeepEqual(t, summaries, []coordination.ItemSummary{{Kind: coordination.KindLock, Name: "l1", Owner: "a", Bytes: 2}})
}
