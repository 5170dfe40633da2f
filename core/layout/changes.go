package layout

import "fmt"

// Operator tokens of the two organisations. They are used only in test fleets.
const (
	TokenNorte  = "test-token-tacto-norte-0123456789"
	TokenKranjc = "test-token-kranjc-0123456789"
)

// Token returns the operator token of an organisation: TokenKranjc for "kranjc", otherwise TokenNorte.
func Token(organisation string) string {
	if organisation == "kranjc" {
		return TokenKranjc
	}
	return TokenNorte
}

// Tokens returns the content of the operators' token file.
func Tokens() map[string]any {
	entry := func(name, organisation, token string) map[string]any {
		return map[string]any{"name": name, "organisation": organisation, "roles": []string{"team", "template"}, "token": token}
	}
	return map[string]any{"operators": []map[string]any{
		entry("operator-norte", "tacto-norte", TokenNorte), entry("operator-kranjc", "kranjc", TokenKranjc),
	}}
}

// TemplateName is the name of the template that all teams use; Template returns the template.
const TemplateName = "service"

// Template returns the template that both organisations use: a cluster for the service, a
// route for its host, and an additional route for each path in "extra".
func Template() map[string]any {
	return map[string]any{
		"name": TemplateName,
		"parameters": map[string]any{
			"service":    map[string]any{"type": "string"},
			"host":       map[string]any{"type": "string"},
			"timeout_ms": map[string]any{"type": "int", "default": 5000, "min": 1, "max": 60000},
			"slow_start": map[string]any{"type": "int", "default": 0, "min": 0, "max": 600000},
			"extra":      map[string]any{"type": "list", "default": []string{}, "max": 64},
		},
		"clusters": []map[string]any{{"name": "main", "service": "${service}", "slow_start_ms": "${slow_start}"}},
		"routes": []map[string]any{
			{"name": "all", "host": "${host}", "path_prefix": "/", "cluster": "main", "timeout_ms": "${timeout_ms}"},
			{"name": "extra-${item}", "for_each": "extra", "host": "${host}", "path_prefix": "/${item}", "cluster": "main"},
		},
	}
}

// Team returns the team of a service as JSON fields. timeoutMillis is the timeout of the service's
// route, and extra lists the paths of additional routes. Callers vary both to change the team.
func Team(s Service, timeoutMillis int, extra []string) map[string]any {
	if extra == nil {
		extra = []string{}
	}
	return map[string]any{
		"name": s.Name, "organisation": s.Organisation, "template": TemplateName,
		"parameters": map[string]any{"service": s.Name, "host": s.Host(), "timeout_ms": timeoutMillis, "extra": extra},
	}
}

// ExtraPaths returns n different paths for the parameter extra of Team.
func ExtraPaths(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("p%d", i)
	}
	return list
}
