package operator

import (
	"time"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

func init() {
	kernel.Register(kernel.Registration{
		Name:  "operator",
		Needs: []string{"quorum", "catalog", "intake"},
		After: []string{"pressure", "admin", "distribution", "discovery", "rollouts", "quota", "capacity"},
		Settings: func() any {
			return &Settings{
				DecisionTimeout: settings.Duration(10 * time.Second),
				ReadTimeout:     settings.Duration(2 * time.Second),
				StaleAfter:      settings.Duration(5 * time.Second),
				MaxWaiting:      128,
				ChangeRate:      50,
				ChangeBurst:     500,
			}
		},
		CheckFiles: func(_ *kernel.Instance, s any) error {
			if o := s.(*Settings); o.Listen != "" {
				if _, _, err := readTokens(o.TokensFile); err != nil {
					return settings.FieldErrorf("operator/tokens_file", "%v", err)
				}
			}
			return nil
		},
		New: func(c *kernel.Context) (kernel.Plugin, error) { return newOperator(c), nil },
	})
}

// maxTimeout bounds the timeouts in the settings, so that they stay below writeTimeout.
const maxTimeout = 60 * time.Second

// Settings configures the plug-in.
type Settings struct {
	// Listen is the IP:port of the operators' listener; empty turns it off.
	Listen string `json:"listen"`
	// TokensFile is the path of the file with the operators' tokens, in JSON with comments.
	TokensFile string `json:"tokens_file"`
	// DecisionTimeout is the longest wait for the decision on a change; after it the change is
	// reported as undecided. At most 60 s.
	DecisionTimeout settings.Duration `json:"decision_timeout"`
	// ReadTimeout is the longest wait for current data; after it stale data is shown. At most 60 s.
	ReadTimeout settings.Duration `json:"read_timeout"`
	// StaleAfter is the time since the last confirmation by the quorum after which /v1/status
	// reports the data as stale and the instance accepts no changes. At most 60 s.
	StaleAfter settings.Duration `json:"stale_after"`
	// MaxWaiting is the maximum number of requests of one organisation that wait for a response at
	// the same time; further requests get a response with status 503.
	MaxWaiting int `json:"max_waiting"`
	// ChangeRate is the maximum rate, in changes per second, at which this instance proposes
	// changes of one organisation; further changes get a response with status 503. The design
	// capacity of 9,600 changes a day is 0.11 per second.
	ChangeRate float64 `json:"change_rate"`
	// ChangeBurst is the number of changes of one organisation that this instance proposes at once
	// before ChangeRate limits them.
	ChangeBurst int `json:"change_burst"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.Listen != "" {
		if err := settings.ValidateAddress("listen", s.Listen); err != nil {
			return err
		}
		if s.TokensFile == "" {
			return settings.FieldErrorf("tokens_file", "must not be empty when listen is set")
		}
	}
	for _, d := range []struct {
		field string
		value settings.Duration
	}{{"decision_timeout", s.DecisionTimeout}, {"read_timeout", s.ReadTimeout}, {"stale_after", s.StaleAfter}} {
		if d.value <= 0 || d.value.AsDuration() > maxTimeout {
			return settings.FieldErrorf(d.field, "%v is not positive or above %v", d.value.AsDuration(), maxTimeout)
		}
	}
	if s.MaxWaiting < 1 {
		return settings.FieldErrorf("max_waiting", "%d is below 1", s.MaxWaiting)
	}
	if s.ChangeRate <= 0 || s.ChangeBurst < 1 {
		return settings.FieldErrorf("change_rate", "change_rate must be positive and change_burst at least 1")
	}
	return nil
}
