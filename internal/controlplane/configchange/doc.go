// Package configchange executes operators' changes of the configuration at the control plane that owns the configuration's key,
// and never executes the same call twice at the same time.
//
// Operators resend a call to another control plane when it is not answered within their time-out. If every control plane wrote
// the key itself, each resend would preempt the node that is writing it, and with members that answer slowly no write would
// complete. The package does not validate configurations and stores nothing on disk; internal/controlstate recognizes a call that
// is executed a second time. Start reading at Forwarder.Change.
package configchange
