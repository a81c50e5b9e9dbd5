package quota

import "time"

// leaseKey identifies leases by home shard and group.
type leaseKey struct {
	homeShard string
	group     int
}

// lease is a share of a group that a home shard may hold until expiresAt.
type lease struct {
	share     float64
	expiresAt time.Time
}

// leaseTable holds a lender's leases that may still be in force. At any time a home shard holds one of the leases of a key, but
// since requests may be lost or delayed it is unknown which. The largest of them counts.
type leaseTable map[leaseKey][]lease

// add adds a lease to those of the key.
func (t leaseTable) add(key leaseKey, added lease) { t[key] = append(t[key], added) }

// expire drops the expired leases.
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

// leasedElsewhere returns the share of a group that home shards other than the given one may hold.
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

// largestShare returns the largest share of the leases.
func largestShare(leases []lease) float64 {
	largest := 0.0
	for _, lease := range leases {
		largest = max(largest, lease.share)
	}
	return largest
}
