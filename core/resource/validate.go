package resource

import (
	"fmt"
	"slices"
	"strings"
)

// Limits of input; input above a limit is refused. The design capacity (520 services, about 2,000
// resources) stays far below the limits, which exist to refuse hostile bodies.
const (
	// MaxBodyBytes limits the JSON of one template or team, so that a log entry that holds
	// it fits into one frame between instances.
	MaxBodyBytes = 64 << 10
	// MaxDepth limits the nesting levels of JSON; valid bodies need 5 levels.
	MaxDepth = 12
	// MaxNameBytes limits the length of a name; it is the limit of a DNS label.
	MaxNameBytes = 63
	// MaxTextBytes limits the length of a text field, before and after expansion.
	MaxTextBytes = 512
	// MaxParameters, MaxRoutes and MaxClusters limit the number of elements of the corresponding
	// list in a template.
	MaxParameters = 64
	MaxRoutes     = 128
	MaxClusters   = 64
	// MaxListItems limits the number of items of a list parameter.
	MaxListItems = 256
	// MaxMethods limits the number of methods of a route.
	MaxMethods = 16
	// MaxTeamResources limits the number of resources in the expansion of one team.
	MaxTeamResources = 512
	// MaxTeamBytes limits the size of the expansion of one team.
	MaxTeamBytes = 256 << 10
	// MaxTimeoutMillis limits the timeout of a call to one hour; a longer call would occupy a slot
	// for too long.
	MaxTimeoutMillis = 3_600_000
	// MaxAttempts limits the number of dispatches of one call.
	MaxAttempts = 10
	// MaxRetryBudgetPercent allows at most one retry for each call.
	MaxRetryBudgetPercent = 100
	MaxSlowStartMillis    = 600_000
	MaxEjectAfter         = 1000

	// maxErrorTextBytes is the length at which input that is quoted in an error is cut off.
	maxErrorTextBytes = 200
)

// Defaults of fields that a template does not set.
const (
	DefaultTimeoutMillis      = 15_000
	DefaultMaxAttempts        = 3
	DefaultRetryBudgetPercent = 20
	DefaultSlowStartMillis    = 10_000
	DefaultEjectAfter         = 5
)

// Names that text fields can refer to, in addition to the template's parameters.
const (
	refTeam         = "team"
	refOrganisation = "organisation"
	// refItem refers to the current item in a resource with "for_each".
	refItem = "item"
)

// CheckName returns an error unless s has 1 to MaxNameBytes bytes of a-z, 0-9, "-" and "_",
// and neither starts nor ends with "-" or "_".
func CheckName(field, s string) error {
	if s == "" {
		return fieldErrorf(field, "must not be empty")
	}
	if len(s) > MaxNameBytes {
		return fieldErrorf(field, "%d bytes are above the limit of %d for a name", len(s), MaxNameBytes)
	}
	for i := range len(s) {
		c := s[i]
		isAlphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		isInnerSeparator := i > 0 && i < len(s)-1 && (c == '-' || c == '_')
		if !isAlphanumeric && !isInnerSeparator {
			return fieldErrorf(field, "%q is not a name of a-z, 0-9, with - and _ inside", truncate(s))
		}
	}
	return nil
}

// Validate checks everything that does not depend on the parameters of a team. The error is
// a FieldError.
func (t *Template) Validate() error {
	if err := CheckName("name", t.Name); err != nil {
		return err
	}
	if len(t.Parameters) > MaxParameters || len(t.Routes) > MaxRoutes || len(t.Clusters) > MaxClusters {
		return fieldErrorf("", "%d parameters, %d routes and %d clusters are above the limits of %d, %d and %d",
			len(t.Parameters), len(t.Routes), len(t.Clusters), MaxParameters, MaxRoutes, MaxClusters)
	}
	for _, name := range sortedKeys(t.Parameters) {
		if err := checkParameter(name, t.Parameters[name]); err != nil {
			return err
		}
	}
	for i := range t.Clusters {
		if err := t.checkTextFields(fmt.Sprintf("clusters/%d", i), t.Clusters[i].ForEach, t.Clusters[i].textFields()); err != nil {
			return err
		}
	}
	for i := range t.Routes {
		if err := t.checkTextFields(fmt.Sprintf("routes/%d", i), t.Routes[i].ForEach, t.Routes[i].textFields()); err != nil {
			return err
		}
		if n := len(t.Routes[i].Methods); n > MaxMethods {
			return fieldErrorf(fmt.Sprintf("routes/%d/methods", i), "%d methods are above the limit of %d", n, MaxMethods)
		}
	}
	return nil
}

func checkParameter(name string, p Parameter) error {
	field := "parameters/" + truncate(name)
	if err := CheckName(field, name); err != nil {
		return err
	}
	if slices.Contains([]string{refTeam, refOrganisation, refItem}, name) {
		return fieldErrorf(field, "the name %q is reserved", name)
	}
	if !slices.Contains([]ParameterType{TypeString, TypeInt, TypeBool, TypeList}, p.Type) {
		return fieldErrorf(field+"/type", "%q is not one of string, int, bool, list", truncate(string(p.Type)))
	}
	if p.Type == TypeBool && (p.Min != nil || p.Max != nil) {
		return fieldErrorf(field+"/min", "a bool has no bounds")
	}
	if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
		return fieldErrorf(field+"/min", "%d is above max %d", *p.Min, *p.Max)
	}
	if len(p.Default) == 0 {
		return nil
	}
	_, err := p.decode(field+"/default", p.Default)
	return err
}

// textField is one text field of a resource template: its JSON name and its value.
type textField struct{ field, value string }

func (r *RouteTemplate) textFields() []textField {
	list := []textField{
		{"name", r.Name}, {"host", r.Host}, {"path_prefix", r.PathPrefix}, {"cluster", r.Cluster},
		{"timeout_ms", r.TimeoutMS}, {"max_attempts", r.MaxAttempts}, {"idempotent", r.Idempotent},
	}
	for i, m := range r.Methods {
		list = append(list, textField{fmt.Sprintf("methods/%d", i), m})
	}
	return list
}

func (c *ClusterTemplate) textFields() []textField {
	return []textField{
		{"name", c.Name}, {"service", c.Service}, {"retry_budget_percent", c.RetryBudgetPercent},
		{"slow_start_ms", c.SlowStartMS}, {"eject_after", c.EjectAfter},
	}
}

// checkTextFields checks the text fields of a resource template: their length, that forEach names a
// list parameter, and that every reference names a parameter whose value is text.
func (t *Template) checkTextFields(prefix, forEach string, fields []textField) error {
	if forEach != "" && t.Parameters[forEach].Type != TypeList {
		return fieldErrorf(prefix+"/for_each", "%q is not a list parameter of the template", truncate(forEach))
	}
	for _, x := range fields {
		field := prefix + "/" + x.field
		if len(x.value) > MaxTextBytes {
			return fieldErrorf(field, "%d bytes are above the limit of %d", len(x.value), MaxTextBytes)
		}
		err := forEachReference(field, x.value, func(_, ref string) error {
			return t.checkReference(field, ref, forEach)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *Template) checkReference(field, ref, forEach string) error {
	switch ref {
	case "", refTeam, refOrganisation:
		return nil
	case refItem:
		if forEach == "" {
			return fieldErrorf(field, "${item} needs for_each")
		}
		return nil
	}
	p, ok := t.Parameters[ref]
	if !ok {
		return fieldErrorf(field, "parameter %q is not declared", truncate(ref))
	}
	if p.Type == TypeList {
		return fieldErrorf(field, "list parameter %q has no text; use for_each and ${item}", ref)
	}
	return nil
}

// forEachReference calls f for each reference in s with the literal text before the reference and the
// name of the reference. The last call has the text after the last reference and an empty name.
func forEachReference(field, s string, f func(literal, ref string) error) error {
	for {
		literal, rest, found := strings.Cut(s, "${")
		if !found {
			return f(literal, "")
		}
		ref, after, closed := strings.Cut(rest, "}")
		if !closed || ref == "" {
			return fieldErrorf(field, "%q has a reference without a name or without its end", truncate(s))
		}
		if err := f(literal, ref); err != nil {
			return err
		}
		s = after
	}
}

// Validate checks everything that does not depend on the template. The error is a
// FieldError.
func (t *Team) Validate() error {
	if err := CheckName("name", t.Name); err != nil {
		return err
	}
	if err := CheckName("organisation", t.Organisation); err != nil {
		return err
	}
	if err := CheckName("template", t.Template); err != nil {
		return err
	}
	if len(t.Parameters) > MaxParameters {
		return fieldErrorf("parameters", "%d parameters are above the limit of %d", len(t.Parameters), MaxParameters)
	}
	for _, name := range sortedKeys(t.Parameters) {
		if err := CheckName("parameters/"+truncate(name), name); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks the values of a route or cluster that another process has expanded and sent. Exactly
// one of Route and Cluster must be set.
func (r *Resource) Validate() error {
	if c := r.Cluster; c != nil {
		ok := c.RetryBudgetPercent >= 0 && c.RetryBudgetPercent <= MaxRetryBudgetPercent && c.EjectAfter >= 0 &&
			c.EjectAfter <= MaxEjectAfter && c.SlowStartMillis >= 0 && c.SlowStartMillis <= MaxSlowStartMillis
		if !ok {
			return fieldErrorf("cluster "+truncate(c.Name), "a number is outside its bounds")
		}
		return CheckName("cluster "+truncate(c.Name)+"/service", c.Service)
	}
	route := r.Route
	if route.TimeoutMillis < 1 || route.TimeoutMillis > MaxTimeoutMillis || route.MaxAttempts < 1 || route.MaxAttempts > MaxAttempts {
		return fieldErrorf("route "+truncate(route.Name), "a number is outside its bounds")
	}
	if err := checkHost("route "+truncate(route.Name)+"/host", route.Match.Host); err != nil {
		return err
	}
	return checkPath("route "+truncate(route.Name)+"/path_prefix", route.Match.PathPrefix)
}

// Owner returns the team and the organisation of the resource.
func (r *Resource) Owner() (team, organisation string) {
	if r.Cluster != nil {
		return r.Cluster.Team, r.Cluster.Organisation
	}
	if r.Caller != nil {
		return ConfigurationTeam, ConfigurationTeam
	}
	return r.Route.Team, r.Route.Organisation
}
