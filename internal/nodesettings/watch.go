package nodesettings

import (
	"context"
	"os"
	"time"
)

// watchInterval is how often the settings file is read without a signal.
const watchInterval = 2 * time.Second

// Watch calls onChange with valid settings whenever a hangup arrives and every watchInterval, until ctx ends.
// Files that cannot be read or do not pass the check are ignored.
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

// Sleep waits for that duration or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
