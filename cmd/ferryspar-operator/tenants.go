package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"ferryspar/internal/configuration"
)

// tenantsCommand prints the tenants of the newest configuration, never their keys.
type tenantsCommand struct{}

// Execute asks for the configuration and prints its tenants.
func (l *tenantsCommand) Execute([]string) error {
	current, err := fetchConfiguration()
	if err != nil {
		return err
	}
	if options.JSON {
		return json.NewEncoder(os.Stdout).Encode(current.Tenants)
	}
	return printTenants(os.Stdout, current.Tenants)
}

// printTenants writes one line for each tenant, whose keys are digests.
func printTenants(target io.Writer, tenants []configuration.Tenant) error {
	lines := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	fmt.Fprintln(lines, "name\tpriority\trate_per_s\tburst\tkeys\tdigests")
	for _, tenant := range tenants {
		digests := make([]string, len(tenant.Keys))
		for position, key := range tenant.Keys {
			digests[position] = string(key)
		}
		fmt.Fprintf(lines, "%s\t%s\t%g\t%g\t%d\t%s\n", tenant.Name, tenant.PriorityText(), tenant.RatePerS, tenant.Burst,
			len(tenant.Keys), strings.Join(digests, " "))
	}
	return lines.Flush()
}
