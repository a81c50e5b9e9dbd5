package keystore_test

import (
	"testing"

	"ferryspar/internal/test/keystoresim"
)

func TestMain(m *testing.M) { keystoresim.Main(m.Run) }
