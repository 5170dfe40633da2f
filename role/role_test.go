package role

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/event"
)

// Guards against events that are missing in the event catalogue, and against rows of the catalogue
// for events that no longer exist.
func TestEventCatalogueMatchesCode(t *testing.T) {
	text, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 7 || strings.Trim(cells[1], " 0123456789") != "" || strings.TrimSpace(cells[1]) == "" {
			continue
		}
		rows[strings.TrimSpace(cells[1])+" "+strings.TrimSpace(cells[2])+" "+strings.TrimSpace(cells[4])] = true
	}
	for _, e := range event.All() {
		key := fmt.Sprintf("%d %s %s", e.Number, e.Level, e.Message)
		if !rows[key] {
			t.Errorf("docs/events.md has no row for: %s", key)
		}
		delete(rows, key)
	}
	for key := range rows {
		t.Errorf("docs/events.md has a row for an event that is not declared: %s", key)
	}
}

// Guards against plug-ins that do not follow the layout: a folder with setup.go, plugin.go and
// README.md that registers a plug-in with the name of the folder.
func TestEveryPluginFolderRegistersItself(t *testing.T) {
	folders, err := filepath.Glob("../plugin/*")
	if err != nil {
		t.Fatal(err)
	}
	registered := kernel.RegisteredNames()
	for _, dir := range folders {
		name := filepath.Base(dir)
		for _, file := range []string{"setup.go", "plugin.go", "README.md"} {
			if _, err := os.Stat(filepath.Join(dir, file)); err != nil {
				t.Errorf("plug-in %s has no file %s", name, file)
			}
		}
		if !slices.Contains(registered, name) {
			t.Errorf("no program registers a plug-in with the name of folder %s", name)
		}
	}
}
