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
	evReloaded      = event.Declare(106, zerolog.InfoLevel, "settings reloaded")
	evReloadInvalid = event.Declare(107, zerolog.ErrorLevel, "changed settings are invalid; keeping the previous settings")
	evReloadSkipped = event.Declare(109, zerolog.InfoLevel, "reload skipped; the process is stopping")
)

// The settings file may change without SIGHUP. Its size and time of change are looked at every settingsStatInterval, and its text
// is compared every settingsReadInterval, for file systems that do not tell them.
const (
	settingsStatInterval = 250 * time.Millisecond
	settingsReadInterval = 5 * time.Second
)

// fileState tells one state of a file from another, as far as the file system does.
type fileState struct {
	size    int64
	changed time.Time
}

// statFile returns the state of a file, or the zero value if it cannot be read.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.Size(), info.ModTime()}
}

// watchSettings reloads the settings on request and when the file has changed, and passes
// them to Run, until ctx ends. Requests are kept until the plug-ins have started; requests
// during the stop are skipped.
func (k *Kernel) watchSettings(ctx context.Context) error {
	select {
	case <-k.running:
	case <-ctx.Done():
		return nil
	}
	ticker := time.NewTicker(settingsStatInterval)
	defer ticker.Stop()
	lastText, last, lastRead := k.settingsText, fileState{}, time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.reloadRequests:
			if k.phase.Load() == phaseStopping {
				k.log.Log(evReloadSkipped).Send()
				continue
			}
			lastText = k.reload(nil)
		case <-ticker.C:
			now, state := time.Now(), statFile(k.settingsPath)
			if k.phase.Load() == phaseRunning && (state != last || now.Sub(lastRead) >= settingsReadInterval) {
				last, lastRead = state, now
				lastText = k.reload(lastText)
			}
		}
	}
}

// reload reads the settings file, passes its sections to Run and returns its text. It
// skips a file whose text equals lastText, unless lastText is nil.
func (k *Kernel) reload(lastText []byte) []byte {
	text, err := os.ReadFile(k.settingsPath)
	if err != nil {
		k.log.Log(evReloadInvalid).Err(err).Send()
		return lastText
	}
	if lastText != nil && bytes.Equal(text, lastText) {
		return lastText
	}
	sections, err := k.decodeSections(text)
	if err != nil {
		k.log.Log(evReloadInvalid).Err(err).Send()
		return text
	}
	select {
	case k.newSections <- sections:
	case <-k.stopping:
		k.log.Log(evReloadSkipped).Send()
	}
	return text
}

// decodeSections decodes the text of a settings file into one section per plug-in.
func (k *Kernel) decodeSections(text []byte) ([]any, error) {
	file, err := settings.Parse(k.settingsPath, text)
	if err != nil {
		return nil, err
	}
	sections := make([]any, len(k.registrations))
	for i, r := range k.registrations {
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

// applySections passes new sections to the plug-ins. It is called by Run, so no plug-in
// receives new settings while it starts or stops.
func (k *Kernel) applySections(sections []any) {
	for i, r := range k.registrations {
		if p, ok := k.plugins[r.Name].(Reloader); ok && sections[i] != nil {
			p.Reload(sections[i])
		}
	}
	k.log.Log(evReloaded).Str("file", k.settingsPath).Send()
}
