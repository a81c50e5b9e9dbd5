package match

import (
	"time"

	"ferryspar/internal/portion"
)

const (
	othersLife = 3 * time.Second
	othersFade = 15 * time.Second
	shareRise  = 2.0
	leastRoom  = 0.25
)

func othersTrust(age time.Duration) float64 {
	return min(max(1-float64(age-othersLife)/float64(othersFade-othersLife), 0), 1)
}

func (c *column) divide(memory, trust float64, edges int) {
	slots := float64(c.replica.Slots)
	share := min(shareRise*slots/float64(max(edges, 1)), slots)
	known := slots - float64(c.others.Running)
	allowed := portion.Whole(trust*known+(1-trust)*share, c.held.draw)
	c.capacity = max(allowed-c.held.running, 0)
	c.spare = allowed == 0 && trust < 1 && share < 1 && (known > 0 || trust == 0)
	c.designated = allowed > 0
	if c.spare {
		c.capacity = max(1-c.held.running, 0)
	}
	c.room = trust*(memory-c.others.Tokens) + (1-trust)*memory*max(share/max(slots, 1), leastRoom) - c.held.tokens
	if c.held.running == 0 && c.others.Running == 0 {
		c.room = max(c.room, memory)
	}
}
