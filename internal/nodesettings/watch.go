package nodesettings

import (
	"context"
	"os"
	"time"
)

const watchInterval = 2 * time.Second

// Watch calls use with sound settings whenever a hangup arrives and every two seconds, until ctx
// ends. Files that cannot be read or don't pass the check are passed over.
func Watch(ctx context.Context, path, service string, hangups <-chan os.Signal, onChange func(settings Settings)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		if settings, err := Load(path); err == nil && settings.Check(service) == nil {
			onChange(settings)
		}
	}
}

// Sleep waits for pause or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
