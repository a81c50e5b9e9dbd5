package placement

// copyCounts holds the counts of one plan. Slices and maps are indexed by item number, hosts and freeHosts by model, and
// intents by name.
type copyCounts struct {
	servingServers int            // servers whose copies count
	loadedCopies   []int          // copies that are certainly loaded at serving servers
	uncertain      map[int]int    // serving servers that may have the item loaded, less the loads that View.Loading counts
	plannedUnloads map[int]int    // copies that the planned actions unload
	intents        map[string]int // serving servers that free memory, by the name of the model for which they do

	// hosts are the positions of the serving servers that have a model with adapters loaded, in ascending order.
	// freeHosts counts those of them that are free.
	hosts     [][]int
	freeHosts []int
}

// newCopyCounts returns zero counts for the given number of items, the first of which are the models.
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

// growTo extends the counts to the given number of items.
func (c *copyCounts) growTo(items int) {
	for len(c.loadedCopies) < items {
		c.loadedCopies = append(c.loadedCopies, 0)
	}
}

// loaded returns how many serving servers have an item loaded.
func (c *copyCounts) loaded(number int) int { return c.loadedCopies[number] }

// remaining returns how many serving servers have an item loaded after the planned unloads.
func (c *copyCounts) remaining(number int) int {
	return c.loadedCopies[number] - c.plannedUnloads[number]
}
