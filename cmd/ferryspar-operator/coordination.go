package main

import (
	"net/http"
	"net/url"
	"slices"

	"ferryspar/internal/coordination"
	"ferryspar/internal/coordinationapi"
)

// itemsCommand lists the coordination items of one kind, or shows one of them.
type itemsCommand struct {
	app  *application
	kind coordination.Kind
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints the list, or the state of the item if a name is given.
func (i *itemsCommand) Execute([]string) error {
	if i.Args.Name == "" {
		return i.list()
	}
	content, err := i.app.get(itemPath(i.kind, i.Args.Name))
	if err != nil {
		return err
	}
	if i.app.options.JSON {
		i.app.printRaw(content)
		return nil
	}
	var status coordinationapi.ItemStatus
	if err := decode("the item", content, &status); err != nil {
		return err
	}
	i.app.printItem(status)
	return nil
}

// itemPath returns the path of an item in the coordination API.
func itemPath(kind coordination.Kind, name string) string {
	return coordinationapi.PathItems + "/" + string(kind) + "/" + url.PathEscape(name)
}

func (i *itemsCommand) list() error {
	list, err := i.app.fetchItems()
	if err != nil {
		return err
	}
	isOther := func(item coordination.ItemSummary) bool { return item.Kind != i.kind }
	list.Items = slices.DeleteFunc(list.Items, isOther)
	if i.app.options.JSON {
		return i.app.printJSON(list.Items)
	}
	items := newTable(string(i.kind)+"s", "name", "owner", "bytes")
	for _, item := range list.Items {
		items.addRow(item.Name, item.Owner, item.Bytes)
	}
	items.write(i.app.stdout)
	return nil
}

// fetchItems reads the list of items from the first control plane that responds.
func (a *application) fetchItems() (coordinationapi.ItemList, error) {
	var list coordinationapi.ItemList
	content, err := a.get(coordinationapi.PathItems)
	if err != nil {
		return list, err
	}
	return list, decode("the items", content, &list)
}

// printItem prints the state of one item on one line.
func (a *application) printItem(status coordinationapi.ItemStatus) {
	switch {
	case status.Lock != nil && status.Lock.Holder == "":
		a.printf("%s: free, last fence %d\n", status.Name, status.Lock.Fence)
	case status.Lock != nil:
		a.printf("%s: held by %s with fence %d, for %d ms as far as its owner knows, free in %d ms unless it is renewed\n",
			status.Name, status.Lock.Holder, status.Lock.Fence, status.Lock.HeldMs, status.Lock.RemainingMs)
	case status.Number != nil:
		a.printf("%s: last number %d\n", status.Name, *status.Number)
	case status.Group != nil:
		a.printf("%s: revision %d, %d keys, %d puts kept since revision %d, %d bytes\n", status.Name, status.Group.Revision,
			status.Group.Keys, status.Group.Events, status.Group.CompactedRevision, status.Group.Bytes)
	}
}

// releaseLockCommand forcibly releases a lock.
type releaseLockCommand struct {
	app  *application
	Args struct {
		Name string `positional-arg-name:"LOCK" required:"yes"`
	} `positional-args:"yes"`
}

// Execute releases the lock and prints its new fencing token, by which resources reject the former holder's lower one.
func (r *releaseLockCommand) Execute([]string) error {
	content, err := r.app.call(apiRequest{method: http.MethodDelete, path: itemPath(coordination.KindLock, r.Args.Name)})
	if err != nil {
		return err
	}
	if r.app.options.JSON {
		r.app.printRaw(content)
		return nil
	}
	var released struct {
		FenceToken uint64 `json:"fenceToken"`
	}
	if err := decode("the response", content, &released); err != nil {
		return err
	}
	r.app.printf("%s is free; its fence is %d now\n", r.Args.Name, released.FenceToken)
	return nil
}

// watchersCommand prints the number of open watches at each control plane.
type watchersCommand struct{ app *application }

// Execute queries each of the given control planes.
func (w *watchersCommand) Execute([]string) error {
	if len(w.app.options.ControlPlanes) == 0 {
		return errNoControlPlane
	}
	counts := map[string]map[string]int{}
	watches := newTable("watches", "control plane", "group", "waiting")
	for _, address := range w.app.options.ControlPlanes {
		single := &application{options: w.app.options, stdout: w.app.stdout, stderr: w.app.stderr}
		single.options.ControlPlanes = []string{address}
		list, err := single.fetchItems()
		if err != nil {
			return err
		}
		counts[address] = list.Watches
		groups := make([]string, 0, len(list.Watches))
		for group := range list.Watches {
			groups = append(groups, group)
		}
		slices.Sort(groups)
		for _, group := range groups {
			watches.addRow(address, group, list.Watches[group])
		}
	}
	if w.app.options.JSON {
		return w.app.printJSON(counts)
	}
	watches.write(w.app.stdout)
	return nil
}
