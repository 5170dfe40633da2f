package experiment

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
	"github.com/celeryyard/celeryyard/plugin/load"
)

// Command is the subcommand "experiment".
type Command struct {
	Settings string            `short:"s" long:"settings" value-name:"FILE" description:"settings file with the section experiment"`
	List     bool              `long:"list" description:"list the scenarios and exit"`
	Nodes    []int             `long:"nodes" value-name:"N" description:"size of the fleet; may be repeated"`
	Changes  int               `long:"changes" value-name:"N" description:"measured changes in each case"`
	Duration string            `long:"duration" value-name:"TIME" description:"time of each load or idle case, such as 5s"`
	Seed     uint64            `long:"seed" value-name:"N" description:"seed of all choices"`
	Output   load.OutputFormat `short:"o" long:"output" value-name:"table|json" default:"table" description:"form of the result"`
	Args     struct {
		Scenarios []string `positional-arg-name:"SCENARIO"`
	} `positional-args:"true"`
	// Stdout receives the result; the program sets it.
	Stdout io.Writer `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	if c.List {
		_, err := fmt.Fprintln(c.Stdout, strings.Join(ScenarioNames(), "\n"))
		return err
	}
	file, err := c.settingsFile()
	if err != nil {
		return errors.Mark(err, load.ErrUsage)
	}
	p, err := load.RunJob(kernel.Options{Plugins: []string{"experiment"}, Settings: file, Log: os.Stderr}, "experiment")
	if err != nil {
		return err
	}
	r := p.(*Experiment).Result()
	if err := c.Output.Write(c.Stdout, r); err != nil {
		return err
	}
	if !r.OK {
		return load.ErrCheckFailed
	}
	return nil
}

// settingsFile returns the settings from the settings file, if one is given, overridden by the
// command line.
func (c *Command) settingsFile() (*settings.File, error) {
	s, instance := defaults(), kernel.Instance{}
	if c.Settings != "" {
		file, err := settings.Load(c.Settings)
		if err != nil {
			return nil, err
		}
		if err := file.RejectUnknownSections(map[string]bool{"instance": true, "experiment": true}); err != nil {
			return nil, err
		}
		if err := file.Decode("experiment", (*unvalidatedSettings)(s)); err != nil {
			return nil, err
		}
		if err := file.Decode("instance", (*unvalidatedInstance)(&instance)); err != nil {
			return nil, err
		}
	}
	if err := c.applyFlags(s); err != nil {
		return nil, err
	}
	if instance.Name == "" {
		instance.Name = "experiment"
	}
	level := instance.LogLevel
	if level == "" {
		level = "info"
	}
	text, err := json.Marshal(map[string]any{
		"instance": map[string]any{"name": instance.Name, "log_level": level}, "experiment": s,
	})
	if err != nil {
		return nil, err
	}
	return settings.Parse("arguments", text)
}

// Types for decoding the settings file. They have no Validate method, because the settings are
// complete only after the command line has been applied.
type (
	unvalidatedSettings Settings
	unvalidatedInstance kernel.Instance
)

// applyFlags overrides settings with the flags and arguments that were given.
func (c *Command) applyFlags(s *Settings) error {
	if len(c.Args.Scenarios) > 0 {
		s.Scenarios = c.Args.Scenarios
	}
	if len(s.Scenarios) == 0 {
		s.Scenarios = ScenarioNames()
	}
	if len(c.Nodes) > 0 {
		s.Nodes = c.Nodes
	}
	if c.Changes != 0 {
		s.Changes = c.Changes
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	if c.Duration == "" {
		return nil
	}
	return errors.Wrap(s.Duration.UnmarshalText([]byte(c.Duration)), "--duration")
}
