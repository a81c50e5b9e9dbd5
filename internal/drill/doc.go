// Package drill holds the messages and the pure decisions of rehearsing the loss of a zone or
// region: the forecast of what a loss would do, and the drill, which keeps a share of real
// requests away from the scope for a while.
//
// It sends and stores nothing and reads no clock: data planes measure (internal/routing), the
// control plane asks them and keeps the record (internal/controlplane). Start reading at Request,
// then Merge for the forecast and CheckGuard for the drill.
package drill
