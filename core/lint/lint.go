// Package lint checks a whole configuration before it is sent: errors for which it would be refused, entries that can never
// match, limits that contradict each other, and what differs from the configuration in force. It does no I/O, and its
// results contain no API key.
package lint

import (
	"fmt"

	"github.com/celeryyard/celeryyard/core/resource"
)

// Severity states what a finding means for the configuration.
type Severity string

// Severities.
const (
	// Error means that the configuration would be refused.
	Error Severity = "error"
	// Warning means that the configuration would be accepted, but probably does not do what its author wants.
	Warning Severity = "warning"
)

// Rule names a check, so that findings can be filtered. Names are fixed from their first release on.
type Rule string

// Rules.
const (
	// RuleInvalid covers all errors of the content of the configuration.
	RuleInvalid Rule = "invalid"
	// RuleBase is an error: the configuration does not follow the one in force.
	RuleBase Rule = "base"

	RuleHost         Rule = "host-never-matches"
	RuleOnePath      Rule = "prefix-matches-one-path"
	RuleRouteName    Rule = "route-name-repeated"
	RuleZeroWeight   Rule = "split-part-without-weight"
	RuleSplitTwice   Rule = "split-service-repeated"
	RuleUnusedSvc    Rule = "service-unused"
	RuleNoKey        Rule = "team-without-key"
	RuleKeyTwice     Rule = "key-repeated"
	RuleTarget       Rule = "target-above-timeout"
	RuleAttempts     Rule = "attempts-without-repeats"
	RuleManyAttempts Rule = "attempts-above-usual"
	RulePriority     Rule = "priority-inverted"
	RuleBurst        Rule = "burst-without-rate"
	RuleLowRate      Rule = "rate-below-one"
	RuleAnonymous    Rule = "anonymous-without-teams"
	RuleAllAnonymous Rule = "all-routes-anonymous"
	RuleLimit        Rule = "limit-too-small"
	RuleIdle         Rule = "idle-below-header-timeout"
	RuleKeysRequired Rule = "keys-newly-required"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	// Field is the path of the field, such as "routes/2/target_ms"; empty for the configuration as a whole.
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Check returns the errors of a configuration, and its warnings in the order of the fields. It does not modify c.
func Check(c *resource.Configuration) []Finding {
	k := &checker{c: c, findings: []Finding{}}
	for _, p := range c.Problems() {
		k.findings = append(k.findings, Finding{Error, RuleInvalid, p.Field, p.Reason})
	}
	k.checkRoutes()
	k.checkPriorities()
	k.checkServices()
	k.checkCallers()
	k.checkLimits()
	return k.findings
}

// Count returns the number of errors and of warnings.
func Count(findings []Finding) (errorCount, warningCount int) {
	for i := range findings {
		if findings[i].Severity == Error {
			errorCount++
		} else {
			warningCount++
		}
	}
	return errorCount, warningCount
}

// checker collects the findings of one configuration.
type checker struct {
	c        *resource.Configuration
	findings []Finding
}

func (k *checker) warnf(r Rule, field, format string, args ...any) {
	k.findings = append(k.findings, Finding{Warning, r, field, fmt.Sprintf(format, args...)})
}
