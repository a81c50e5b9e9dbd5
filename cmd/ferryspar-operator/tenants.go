package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"ferryspar/internal/configuration"
)

// tenantsCommand prints the tenants of the newest configuration, never their keys.
type tenantsCommand struct{ app *application }

// Execute reads the configuration and prints its tenants.
func (t *tenantsCommand) Execute([]string) error {
	current, err := t.app.fetchConfiguration()
	if err != nil {
		return err
	}
	if t.app.options.JSON {
		return t.app.printJSON(current.Tenants)
	}
	return printTenants(t.app.stdout, current.Tenants)
}

// printTenants writes one line for each tenant. It prints the tenants' keys, so they must have been replaced by digests.
func printTenants(target io.Writer, tenants []configuration.Tenant) error {
	writer := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "name\tpriority\trate_per_s\tburst\tkeys\tdigests")
	for _, tenant := range tenants {
		digests := make([]string, len(tenant.Keys))
		for index, key := range tenant.Keys {
			digests[index] = string(key)
		}
		fmt.Fprintf(writer, "%s\t%s\t%g\t%g\t%d\t%s\n",
			tenant.Name, tenant.PriorityText(), tenant.RatePerS, tenant.Burst, len(tenant.Keys), strings.Join(digests, " "))
	}
	return writer.Flush()
}
