package nodesettings

import (
	"context"
	"os"
	"time"
)

// watchInterval is the interval at which the settings file is reloaded without a signal.
const watchInterval = 2 * time.Second

// Watch reloads the settings on each hangup and at each watchInterval until ctx ends, and calls onChange with them. Files that
// cannot be read and invalid settings are ignored.
func Watch(ctx context.Context, path string, service Service, hangups <-chan os.Signal, onChange func(settings Settings)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		if settings, err := Load(path); err == nil && settings.Validate(service) == nil {
			onChange(settings)
		}
	}
}

// Sleep waits for the duration or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
