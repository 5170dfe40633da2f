package kernel

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

var (
	evReloaded   = event.Declare(106, zerolog.InfoLevel, "settings reloaded")
	evBadReload  = event.Declare(107, zerolog.ErrorLevel, "changed settings are invalid; the old ones stay in force")
	evSkipReload = event.Declare(109, zerolog.InfoLevel, "reload skipped; the process is stopping")
)

// settingsCheck is the interval at which the settings file is compared with the
// one in force, for changes that come without a signal.
const settingsCheck = 5 * time.Second

// watchSettings reads the settings again on request and when the file has changed, and
// hands them to Run, until ctx ends. Requests wait until the plug-ins run; those that
// come during the stop are skipped.
func (k *Kernel) watchSettings(ctx context.Context) error {
	select {
	case <-k.running:
	case <-ctx.Done():
		return nil
	}
	check := time.NewTicker(settingsCheck)
	defer check.Stop()
	known := k.text
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.reloads:
			if k.phase.Load() == phaseStopping {
				k.log.Log(evSkipReload).Send()
				continue
			}
			known = k.reload(nil)
		case <-check.C:
			if k.phase.Load() == phaseRunning {
				known = k.reload(known)
			}
		}
	}
}

// reload reads the settings file and hands the sections to Run unless its text is known.
// It returns the text.
func (k *Kernel) reload(known []byte) []byte {
	text, err := os.ReadFile(k.path)
	if err != nil {
		k.log.Log(evBadReload).Err(err).Send()
		return known
	}
	if known != nil && bytes.Equal(text, known) {
		return known
	}
	sections, err := k.sections(text)
	if err != nil {
		k.log.Log(evBadReload).Err(err).Send()
		return text
	}
	select {
	case k.changed <- sections:
	case <-k.leaving:
		k.log.Log(evSkipReload).Send()
	}
	return text
}

// sections decodes the text of a settings file into the sections of the plug-ins.
func (k *Kernel) sections(text []byte) ([]any, error) {
	file, err := settings.Parse(k.path, text)
	if err != nil {
		return nil, err
	}
	sections := make([]any, len(k.order))
	for i, r := range k.order {
		if r.Settings == nil {
			continue
		}
		sections[i] = r.Settings()
		if err := file.Decode(r.Name, sections[i]); err != nil {
			return nil, err
		}
	}
	return sections, nil
}

// apply hands new sections to the plug-ins. Run calls it, so no plug-in is given new
// settings while it starts or stops.
func (k *Kernel) apply(sections []any) {
	for i, r := range k.order {
		if p, ok := k.plugins[r.Name].(Reloader); ok && sections[i] != nil {
			p.Reload(sections[i])
		}
	}
	k.log.Log(evReloaded).Str("file", k.path).Send()
}
