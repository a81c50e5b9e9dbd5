package nodesettings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWatch_ReloadsValidSettingsOnHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	hangups, reloaded := make(chan os.Signal, 1), make(chan Settings, 4)
	go Watch(ctx, path, ServiceDataPlane, hangups, func(settings Settings) { reloaded <- settings })
	hangups <- syscall.SIGHUP
	select {
	case settings := <-reloaded:
		assert.DeepEqual(t, settings.SeedPeers(), []string{"10.1.0.16:7720"})
	case <-ctx.Done():
		t.Fatal("settings were not reloaded")
	}
	assert.NilError(t, os.WriteFile(path, []byte("nodeName ="), 0o600))
	hangups <- syscall.SIGHUP
	hangups <- syscall.SIGHUP
	assert.Equal(t, len(reloaded), 0)
}
