package kernel

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

var (
	evReloaded  = event.Declare(106, zerolog.InfoLevel, "settings reloaded")
	evBadReload = event.Declare(107, zerolog.ErrorLevel, "changed settings are invalid; the old ones stay in force")
)

// settingsCheck is the interval at which the settings file is compared with the
// one in force, for changes that come without a signal.
const settingsCheck = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed,
// until ctx ends.
func (k *Kernel) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	check := time.NewTicker(settingsCheck)
	defer check.Stop()
	known, _ := os.ReadFile(k.path) // the file was read a moment ago
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			known = k.reload(nil)
		case <-check.C:
			known = k.reload(known)
		}
	}
}

// reload reads the settings file and hands the sections to the plug-ins unless its
// text is known. It returns the text.
func (k *Kernel) reload(known []byte) []byte {
	text, err := os.ReadFile(k.path)
	if err != nil {
		k.log.Log(evBadReload).Err(err).Send()
		return known
	}
	if known != nil && bytes.Equal(text, known) {
		return known
	}
	file, err := settings.Parse(k.path, text)
	if err != nil {
		k.log.Log(evBadReload).Err(err).Send()
		return text
	}
	sections := make([]any, len(k.order))
	for i, r := range k.order {
		if r.Settings == nil {
			continue
		}
		sections[i] = r.Settings()
		if err := file.Decode(r.Name, sections[i]); err != nil {
			k.log.Log(evBadReload).Err(err).Send()
			return text
		}
	}
	for i, r := range k.order {
		if p, ok := k.plugins[r.Name].(Reloader); ok && sections[i] != nil {
			p.Reload(sections[i])
		}
	}
	k.log.Log(evReloaded).Str("file", k.path).Send()
	return text
}
