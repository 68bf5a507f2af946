package process

import (
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// settingsPollInterval is how often the settings file is checked for changes that come
// without a signal.
const settingsPollInterval = 2 * time.Second

// reloadable holds the names of the fields of Settings that a running process applies. All
// others require a restart.
var reloadable = map[string]bool{"Seeds": true, "Retry": true, "Cold": true, "Wait": true, "Bound": true, "LogLevel": true}

// WatchSettings reads the settings file again at each hang-up signal and whenever it has
// changed, and applies the settings that may change in a running process. An invalid file
// is logged and changes nothing. It returns when the channel is closed.
func WatchSettings(path string, set Settings, hangups <-chan os.Signal, apply func(Settings), log zerolog.Logger) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := fileStamp(path)
	for {
		select {
		case _, open := <-hangups:
			if !open {
				return
			}
		case <-tick.C:
			if fileStamp(path) == last {
				continue
			}
		}
		last = fileStamp(path)
		set = reloadSettings(path, set, apply, log)
	}
}

// fileStamp returns the modification time and size of a file, by which changes are detected.
func fileStamp(path string) (s struct {
	at   time.Time
	size int64
}) {
	if info, err := os.Stat(path); err == nil {
		s.at, s.size = info.ModTime(), info.Size()
	}
	return s
}

// reloadSettings reads the file again, applies its settings and returns those in force.
func reloadSettings(path string, set Settings, apply func(Settings), log zerolog.Logger) Settings {
	next, err := LoadSettings(path)
	if err != nil {
		log.Error().Err(err).Msg("settings-rejected")
		return set
	}
	changed, waiting := diffSettings(set, next)
	if len(changed) > 0 {
		if level, err := zerolog.ParseLevel(next.LogLevel); err == nil {
			zerolog.SetGlobalLevel(level)
		}
		apply(next)
	}
	log.Info().Str("changed", strings.Join(changed, ",")).Str("after_restart", strings.Join(waiting, ",")).Msg("settings-reloaded")
	return next
}

// diffSettings returns the names of the fields that differ: those that a running process
// applies, and those that wait for a restart.
func diffSettings(a, b Settings) (changed, waiting []string) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			continue
		}
		if name := va.Type().Field(i).Name; reloadable[name] {
			changed = append(changed, name)
		} else {
			waiting = append(waiting, name)
		}
	}
	return changed, waiting
}
