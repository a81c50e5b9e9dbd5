package quota

import "time"

// leaseKey names what is leased of one group to one home shard.
type leaseKey struct {
	homeShard string
	group     int
}

// lease is a share that a home shard may hold until it expires.
type lease struct {
	share     float64
	expiresAt time.Time
}

// leaseTable is what a lender may still have leased to whom. A home shard holds one of the leases of a key at a time, and
// which one isn't known: requests may be lost or delayed. So the largest of them counts.
type leaseTable map[leaseKey][]lease

func (t leaseTable) add(key leaseKey, added lease) { t[key] = append(t[key], added) }

// expire drops the leases that have surely ended.
func (t leaseTable) expire(now time.Time) {
	for key, leases := range t {
		var active []lease
		for _, lease := range leases {
			if now.Before(lease.expiresAt) {
				active = append(active, lease)
			}
		}
		if len(active) == 0 {
			delete(t, key)
			continue
		}
		t[key] = active
	}
}

// leasedElsewhere is how much of a group other home shards than the given one may hold.
func (t leaseTable) leasedElsewhere(group int, homeShard string) float64 {
	total := 0.0
	for key, leases := range t {
		if key.group == group && key.homeShard != homeShard {
			total += largestShare(leases)
		}
	}
	return total
}

// release drops all leases to a home shard and returns their groups.
func (t leaseTable) release(homeShard string) []int {
	var groups []int
	for key := range t {
		if key.homeShard == homeShard {
			groups = append(groups, key.group)
			delete(t, key)
		}
	}
	return groups
}

func largestShare(leases []lease) float64 {
	largest := 0.0
	for _, lease := range leases {
		largest = max(largest, lease.share)
	}
	return largest
}
