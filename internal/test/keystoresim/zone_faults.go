package keystoresim

import (
	"math/rand/v2"
	"time"
)

// CutZoneLink cuts the links between the zone of a machine and one other zone. The remaining zones reach both.
func CutZoneLink(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	own, other := cluster.zoneOf(name), cluster.drawOtherZone(name, random)
	defer cluster.cut(linksBetween(cluster.namesInZones(own), cluster.namesInZones(other)))()
	time.Sleep(duration)
}

// CutRegion cuts the links between the first two zones and all others.
func CutRegion(cluster *Cluster, _ string, _ *rand.Rand, duration time.Duration) {
	const regionZones = 2
	var first, second []int
	for zone := range cluster.zoneCount {
		if zone < regionZones {
			first = append(first, zone)
		} else {
			second = append(second, zone)
		}
	}
	defer cluster.cut(linksBetween(cluster.namesInZones(first...), cluster.namesInZones(second...)))()
	time.Sleep(duration)
}

// LoseZone cuts the power of a machine's zone.
func LoseZone(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	cluster.loseZone(cluster.zoneOf(name), random, duration)
}

// LoseOtherZone cuts the power of a zone that the machine is not in.
func LoseOtherZone(cluster *Cluster, name string, random *rand.Rand, duration time.Duration) {
	cluster.loseZone(cluster.drawOtherZone(name, random), random, duration)
}

// drawOtherZone draws a zone that the machine is not in.
func (c *Cluster) drawOtherZone(name string, random *rand.Rand) int {
	return (c.zoneOf(name) + 1 + random.IntN(c.zoneCount-1)) % c.zoneCount
}

func (c *Cluster) loseZone(zone int, random *rand.Rand, duration time.Duration) {
	names := c.namesInZones(zone)
	heal := c.cut(linksBetween(names, c.MemberNames()))
	for _, name := range names {
		c.Kill(name)
		c.LosePower(name, random)
	}
	time.Sleep(duration)
	heal()
	for _, name := range names {
		c.Start(name, false)
	}
}
