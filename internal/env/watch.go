package env

import (
	"context"
	"os"
	"time"
)

const watchEvery = 2 * time.Second

func Watch(ctx context.Context, path, serves string, hangups <-chan os.Signal, use func(fresh Settings)) {
	schedule := time.NewTicker(watchEvery)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-schedule.C:
		}
		if fresh, err := Load(path); err == nil && fresh.Check(serves) == nil {
			use(fresh)
		}
	}
}

func Sleep(ctx context.Context, pause time.Duration) {
	schedule := time.NewTimer(pause)
	defer schedule.Stop()
	select {
	case <-schedule.C:
	case <-ctx.Done():
	}
}
