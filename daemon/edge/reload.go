package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/settings/startup"
	"sequoiasail.example/telemetry"
)

// fileInterval is how often the settings file is looked at: it may change without a signal.
const fileInterval = time.Second

// reloader reads the settings file again after SIGHUP or when it has changed.
type reloader struct {
	file      string
	current   platform.Settings
	admission *ring.Ring[any]
	log       *telemetry.Log
	modified  time.Time
}

func (r *reloader) duty() duty.Duty { return duty.Duty{Name: "settings-file", Run: r.run} }

func (r *reloader) run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(fileInterval)
	defer tick.Stop()
	r.modified = r.modTime()
	for {
		select {
		case <-hangup:
			r.reload(ctx, "SIGHUP")
		case <-tick.C:
			if m := r.modTime(); !m.Equal(r.modified) {
				r.modified = m
				r.reload(ctx, "the file has changed")
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// modTime is zero while the file can't be looked at; a reload then tells why.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// ReadSettings reads the settings file of the platform. It returns settings.Problems.
func ReadSettings(file string) (platform.Settings, error) {
	data, err := startup.ReadFile(file)
	if err != nil {
		return platform.Settings{}, err
	}
	return platform.DecodeSettings(data)
}

// reload takes the bounds of the file into force. Bad settings change nothing.
func (r *reloader) reload(ctx context.Context, cause string) {
	s, err := ReadSettings(r.file)
	if err != nil {
		r.log.Warn("settings not reloaded", log.Fields{"cause": cause, "error": err.Error()})
		return
	}
	r.log.Info("settings reloaded", log.Fields{
		"cause": cause, "restartNeeded": s.CallerAddress != r.current.CallerAddress || s.StoreAddress != r.current.StoreAddress,
	})
	r.current = s
	_ = r.admission.Put(ctx, admission.RetryLimits{RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow})
}
