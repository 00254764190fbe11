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

// fileCheckInterval is how often the modification time of the settings file is checked, since the file may change without a
// signal.
const fileCheckInterval = time.Second

// reloader reads the settings file again after SIGHUP or when its modification time changes.
type reloader struct {
	settingsFile string
	current      platform.Settings
	admission    *ring.Ring[any]
	log          *telemetry.Log
	modified     time.Time
}

func (r *reloader) duty() duty.Duty { return duty.Duty{Name: "settings-file", Run: r.run} }

func (r *reloader) run(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	tick := time.NewTicker(fileCheckInterval)
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

// modTime returns the modification time of the settings file, or zero if it can't be read; the reload then logs the error.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.settingsFile)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// ReadSettings reads and decodes the settings file of the platform. Invalid settings are returned as settings.Problems.
func ReadSettings(file string) (platform.Settings, error) {
	data, err := startup.ReadFile(file)
	if err != nil {
		return platform.Settings{}, err
	}
	s, err := platform.DecodeSettings(data)
	if err != nil {
		return platform.Settings{}, err
	}
	return s, checkDescriptors(s)
}

// reload applies the retry bounds of the file. Other settings need a restart. An invalid file changes nothing.
func (r *reloader) reload(ctx context.Context, cause string) {
	s, err := ReadSettings(r.settingsFile)
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
