package settings

// Switch is a setting that turns a feature on or off, or leaves it to the plug-in.
type Switch string

// Values of a Switch.
const (
	SwitchAuto Switch = "auto"
	SwitchOn   Switch = "on"
	SwitchOff  Switch = "off"
)

// IsOn reports whether the feature is on. auto is what the plug-in decides for SwitchAuto.
func (s Switch) IsOn(auto bool) bool { return s == SwitchOn || s == SwitchAuto && auto }

// ValidateSwitch returns an error that names the field if s is none of the values.
func ValidateSwitch(field string, s Switch) error {
	switch s {
	case SwitchAuto, SwitchOn, SwitchOff:
		return nil
	}
	return FieldErrorf(field, "%q is not auto, on or off", string(s))
}
