package placement

// copyCounts counts the copies of one plan. Slices and maps are indexed by item number, those of hosts by
// model.
type copyCounts struct {
	servingServers int            // servers whose copies count
	loadedCopies   []int          // at serving servers
	uncertain      map[int]int    // serving servers that may have it loaded, beyond those that View.Loading counts
	plannedUnloads map[int]int    // copies taken by the actions so far
	intents        map[string]int // serving servers that free memory, by the name of the model they free it for

	// hosts are the positions of the serving servers that have a model with adapters loaded, ascending;
	// freeHosts is how many of them are free.
	hosts     [][]int
	freeHosts []int
}

// newCopyCounts returns empty counts for that many items, the first of which are the models.
func newCopyCounts(items, models int) copyCounts {
	return copyCounts{
		loadedCopies:   make([]int, items),
		uncertain:      map[int]int{},
		plannedUnloads: map[int]int{},
		intents:        map[string]int{},
		hosts:          make([][]int, models),
		freeHosts:      make([]int, models),
	}
}

// growTo extends the counts to that many items.
func (c *copyCounts) growTo(items int) {
	for len(c.loadedCopies) < items {
		c.loadedCopies = append(c.loadedCopies, 0)
	}
}

// loaded is how many serving servers have an item loaded.
func (c *copyCounts) loaded(number int) int { return c.loadedCopies[number] }

// remaining is how many of those are left after the actions so far.
func (c *copyCounts) remaining(number int) int {
	return c.loadedCopies[number] - c.plannedUnloads[number]
}
