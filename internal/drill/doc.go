// Package drill holds the messages and decision functions for rehearsing the loss of a zone or
// region: the forecast predicts the effects of a loss, and the drill routes a share of real
// requests around the scope for a limited time.
//
// The package sends and stores nothing and reads no clock: data planes measure (internal/routing),
// the control plane queries them and stores the record (internal/controlplane). Start reading at
// Request, then MergeForecast for the forecast and CheckGuard for the drill.
package drill
