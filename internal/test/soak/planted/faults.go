package main

// edit replaces a text that stands once in a file of the repository.
type edit struct{ file, old, new string }

// fault is a fault that is planted in the programs. rule is the rule whose judge must name it.
type fault struct {
	name, rule string
	edits      []edit
}

var faults = []fault{
	{
		name: "sends late in a shutdown", rule: "LOST",
		edits: []edit{{"internal/proxy/shutdown.go", "if now.Sub(s.startedAt) > sendPeriod-maxSignalDelay {", "if now.IsZero() {"}},
	},
	{
		name: "cuts responses early in a shutdown", rule: "LOST",
		edits: []edit{{"internal/dataplane/node.go", "closesAt := startedAt.Add(serving)", "closesAt := startedAt.Add(serving / 3)"}},
	},
	{
		name: "sends again what may have run", rule: "TWICE",
		edits: []edit{
			{"internal/proxy/retries.go", "if !notExecuted && !e.parsed.route.IsIdempotent() {", "if !notExecuted && e.attempts > 1 {"},
			{"internal/proxy/retries.go", "max(e.parsed.route.RetryCount, 1)", "max(e.parsed.route.RetryCount, 2)"},
		},
	},
	{
		name: "promises that nothing ran after a run", rule: "REFUSED",
		edits: []edit{
			{
				"internal/proxy/retries.go",
				"IsIdempotent() {\n\t\treturn apierror.New(apierror.ReplicaFailed, \"\")",
				"IsIdempotent() {\n\t\treturn apierror.New(apierror.NotExecuted, \"\")",
			},
			{"internal/proxy/exchange.go", "if e.mayHaveExecuted && failure", "if e.attempts < 0 && failure"},
		},
	},
	{
		name: "ends a broken response as a whole one", rule: "MIXED",
		edits: []edit{{
			"internal/proxy/streaming.go",
			"(!resumable || e.events.LastID == \"\") {\n\t\tpanic(http.ErrAbortHandler)",
			"(!resumable || e.events.LastID == \"\") {\n\t\treturn nil",
		}},
	},
	{
		name: "resumes a stream from its start", rule: "MIXED",
		edits: []edit{{"internal/proxy/prefill.go", "upstream.LastEventID = e.events.LastID", "upstream.LastEventID = \"\""}},
	},
	{
		name: "ignores evacuations", rule: "EVAC",
		edits: []edit{
			{"internal/routing/target.go", "case s.DrainedZones[present.Zone]:", "case s.DrainedZones[\"\"]:"},
			{"internal/routing/graph.go", "if !m.snapshot.DrainedZones[replica.Zone] {", "if !m.snapshot.DrainedZones[\"\"] {"},
			{"internal/routing/assign.go", "|| m.snapshot.DrainedZones[node.replica.Zone]", "|| m.snapshot.DrainedZones[\"\"]"},
		},
	},
	{
		name: "takes one member for a majority", rule: "CONFIG",
		edits: []edit{{"internal/keystore/quorum.go", "return len(group)/2 + 1", "return min(len(group), 1)"}},
	},
	{
		name: "issues a fencing token twice", rule: "COORDINATION",
		edits: []edit{{"internal/coordination/lock.go", "\tl.record.Fence++\n\tif", "\tl.record.Fence = max(l.record.Fence, 1)\n\tif"}},
	},
	{
		name: "acknowledges before the sync", rule: "CONFIG",
		edits: []edit{{
			"internal/keystore/directory.go",
			"func (d *osDirectory) Sync(name string) error { return d.files[name].Sync() }",
			"func (d *osDirectory) Sync(name string) error { return nil }",
		}},
	},
	{
		name: "keeps the bytes of bodies", rule: "MEMORY",
		edits: []edit{{"internal/bodybudget/budget.go", "budget.heldBytes -= held", "budget.heldBytes -= 0 * held"}},
	},
}
