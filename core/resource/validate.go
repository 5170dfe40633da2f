package resource

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of input. They keep the state of the design capacity (520 services,
// about 2,000 resources) far inside and a hostile body far outside.
const (
	// MaxBodyBytes bounds the JSON of one template or team; a log entry that
	// holds it fits one frame between instances.
	MaxBodyBytes = 64 << 10
	// MaxDepth bounds the nesting of JSON; valid bodies need 5 levels.
	MaxDepth = 12
	// MaxNameBytes bounds one name, as in a DNS label.
	MaxNameBytes = 63
	// MaxTextBytes bounds one text field after expansion.
	MaxTextBytes = 512
	// MaxParameters, MaxRoutes and MaxClusters bound the lists of a template.
	MaxParameters = 64
	MaxRoutes     = 128
	MaxClusters   = 64
	// MaxItems bounds a list parameter.
	MaxItems = 256
	// MaxMethods bounds the methods of a route.
	MaxMethods = 16
	// MaxTeamResources and MaxTeamBytes bound the expansion of one team.
	MaxTeamResources = 512
	MaxTeamBytes     = 256 << 10
	// MaxTimeoutMillis is one hour; longer calls hold a slot for too long.
	MaxTimeoutMillis = 3_600_000
	// MaxAttempts bounds the dispatches of one call.
	MaxAttempts = 10
	// MaxRetryBudgetPercent allows at most one retry for each call.
	MaxRetryBudgetPercent = 100
	MaxSlowStartMillis    = 600_000
	MaxEjectAfter         = 1000

	maxErrorText = 200
)

// Values of fields that a template leaves empty.
const (
	DefaultTimeoutMillis      = 15_000
	DefaultMaxAttempts        = 3
	DefaultRetryBudgetPercent = 20
	DefaultSlowStartMillis    = 10_000
	DefaultEjectAfter         = 5
)

// Names that every text field may refer to besides the template's parameters.
const (
	refTeam         = "team"
	refOrganisation = "organisation"
	// refItem is the current item inside a resource with "for_each".
	refItem = "item"
)

// CheckName refuses names that are not 1 to MaxNameBytes bytes of a-z, 0-9, "-"
// and "_", or that start or end with a sign.
func CheckName(field, s string) error {
	if s == "" {
		return invalid(field, "must not be empty")
	}
	if len(s) > MaxNameBytes {
		return invalid(field, "%d bytes are above the limit of %d for a name", len(s), MaxNameBytes)
	}
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		inside := i > 0 && i < len(s)-1 && (c == '-' || c == '_')
		if !alnum && !inside {
			return invalid(field, "%q is not a name of a-z, 0-9, with - and _ inside", clip(s))
		}
	}
	return nil
}

// Validate checks what does not depend on parameters of a team. The error is a
// FieldError.
func (t *Template) Validate() error {
	if err := CheckName("name", t.Name); err != nil {
		return err
	}
	if len(t.Parameters) > MaxParameters || len(t.Routes) > MaxRoutes || len(t.Clusters) > MaxClusters {
		return invalid("", "%d parameters, %d routes and %d clusters are above the limits of %d, %d and %d",
			len(t.Parameters), len(t.Routes), len(t.Clusters), MaxParameters, MaxRoutes, MaxClusters)
	}
	for _, name := range sortedKeys(t.Parameters) {
		if err := checkParameter(name, t.Parameters[name]); err != nil {
			return err
		}
	}
	for i := range t.Clusters {
		if err := t.checkTexts(fmt.Sprintf("clusters/%d", i), t.Clusters[i].ForEach, t.Clusters[i].texts()); err != nil {
			return err
		}
	}
	for i := range t.Routes {
		if err := t.checkTexts(fmt.Sprintf("routes/%d", i), t.Routes[i].ForEach, t.Routes[i].texts()); err != nil {
			return err
		}
		if n := len(t.Routes[i].Methods); n > MaxMethods {
			return invalid(fmt.Sprintf("routes/%d/methods", i), "%d methods are above the limit of %d", n, MaxMethods)
		}
	}
	return nil
}

func checkParameter(name string, p Parameter) error {
	field := "parameters/" + clip(name)
	if err := CheckName(field, name); err != nil {
		return err
	}
	if slices.Contains([]string{refTeam, refOrganisation, refItem}, name) {
		return invalid(field, "the name %q is reserved", name)
	}
	if !slices.Contains([]ParameterType{TypeString, TypeInt, TypeBool, TypeList}, p.Type) {
		return invalid(field+"/type", "%q is not one of string, int, bool, list", clip(string(p.Type)))
	}
	if p.Type == TypeBool && (p.Min != nil || p.Max != nil) {
		return invalid(field+"/min", "a bool has no bounds")
	}
	if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
		return invalid(field+"/min", "%d is above max %d", *p.Min, *p.Max)
	}
	if len(p.Default) == 0 {
		return nil
	}
	_, err := p.value(field+"/default", p.Default)
	return err
}

// text is one field of a resource template together with its name.
type text struct{ field, value string }

func (r *RouteTemplate) texts() []text {
	list := []text{
		{"name", r.Name}, {"host", r.Host}, {"path_prefix", r.PathPrefix}, {"cluster", r.Cluster},
		{"timeout_ms", r.TimeoutMS}, {"max_attempts", r.MaxAttempts}, {"idempotent", r.Idempotent},
	}
	for i, m := range r.Methods {
		list = append(list, text{fmt.Sprintf("methods/%d", i), m})
	}
	return list
}

func (c *ClusterTemplate) texts() []text {
	return []text{
		{"name", c.Name}, {"service", c.Service}, {"retry_budget_percent", c.RetryBudgetPercent},
		{"slow_start_ms", c.SlowStartMS}, {"eject_after", c.EjectAfter},
	}
}

// checkTexts checks that every reference of a resource template names a
// parameter that has a text.
func (t *Template) checkTexts(prefix, forEach string, texts []text) error {
	if forEach != "" && t.Parameters[forEach].Type != TypeList {
		return invalid(prefix+"/for_each", "%q is not a list parameter of the template", clip(forEach))
	}
	for _, x := range texts {
		field := prefix + "/" + x.field
		if len(x.value) > MaxTextBytes {
			return invalid(field, "%d bytes are above the limit of %d", len(x.value), MaxTextBytes)
		}
		err := eachPart(field, x.value, func(_, ref string) error {
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
			return invalid(field, "${item} needs for_each")
		}
		return nil
	}
	p, ok := t.Parameters[ref]
	if !ok {
		return invalid(field, "parameter %q is not declared", clip(ref))
	}
	if p.Type == TypeList {
		return invalid(field, "list parameter %q has no text; use for_each and ${item}", ref)
	}
	return nil
}

// eachPart calls f for each part of s: a literal text, then the name of the
// reference that follows it, which is empty at the end of s.
func eachPart(field, s string, f func(literal, ref string) error) error {
	for {
		literal, rest, found := strings.Cut(s, "${")
		if !found {
			return f(literal, "")
		}
		ref, after, closed := strings.Cut(rest, "}")
		if !closed || ref == "" {
			return invalid(field, "%q has a reference without a name or without its end", clip(s))
		}
		if err := f(literal, ref); err != nil {
			return err
		}
		s = after
	}
}

// Validate checks what does not depend on the template. The error is a FieldError.
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
		return invalid("parameters", "%d parameters are above the limit of %d", len(t.Parameters), MaxParameters)
	}
	for _, name := range sortedKeys(t.Parameters) {
		if err := CheckName("parameters/"+clip(name), name); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks the bounds of an expanded resource that comes from outside
// the process. Exactly one of Route and Cluster is set.
func (r *Resource) Validate() error {
	if c := r.Cluster; c != nil {
		ok := c.RetryBudgetPercent >= 0 && c.RetryBudgetPercent <= MaxRetryBudgetPercent && c.EjectAfter >= 0 &&
			c.EjectAfter <= MaxEjectAfter && c.SlowStartMillis >= 0 && c.SlowStartMillis <= MaxSlowStartMillis
		if !ok {
			return invalid("cluster "+clip(c.Name), "a number is outside its bounds")
		}
		return CheckName("cluster "+clip(c.Name)+"/service", c.Service)
	}
	x := r.Route
	if x.TimeoutMillis < 1 || x.TimeoutMillis > MaxTimeoutMillis || x.MaxAttempts < 1 || x.MaxAttempts > MaxAttempts {
		return invalid("route "+clip(x.Name), "a number is outside its bounds")
	}
	if err := checkHost("route "+clip(x.Name)+"/host", x.Match.Host); err != nil {
		return err
	}
	return checkPath("route "+clip(x.Name)+"/path_prefix", x.Match.PathPrefix)
}

// Owner returns the team and the organisation of the resource.
func (r *Resource) Owner() (team, organisation string) {
	if r.Cluster != nil {
		return r.Cluster.Team, r.Cluster.Organisation
	}
	return r.Route.Team, r.Route.Organisation
}
