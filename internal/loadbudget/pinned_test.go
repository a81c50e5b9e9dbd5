package loadbudget

import (
	"testing"

	"ferryspar/internal/test/pinned"
)

func TestReservation_JSONStaysTheSame(t *testing.T) {
	pinned.CheckMessages(t, "testdata/messages.json", pinned.Messages{
		"loads by age": new(AgedLoads),
		"reservation":  new(Reservation),
	})
}
