package catalog

import (
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Template is a template as operators read it.
type Template struct {
	Template *resource.Template `json:"template"`
	Revision uint64             `json:"revision"`
}

// Team is a team as operators read it, with its expansion.
type Team struct {
	Team     *resource.Team      `json:"team"`
	Revision uint64              `json:"revision"`
	Routes   []*resource.Route   `json:"routes"`
	Clusters []*resource.Cluster `json:"clusters"`
}

// Templates returns all templates in order of their names.
func (t *Catalog) Templates() []Template {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := []Template{}
	for _, name := range sortedNames(t.s.templates) {
		e := t.s.templates[name]
		list = append(list, Template{Template: e.Template, Revision: e.Revision})
	}
	return list
}

// Teams returns the teams of an organisation in order of their names.
func (t *Catalog) Teams(organisation string) []Team {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := []Team{}
	for _, name := range sortedNames(t.s.teams) {
		e := t.s.teams[name]
		if e.Team.Organisation == organisation {
			list = append(list, Team{Team: e.Team, Revision: e.Revision, Routes: e.out.Routes, Clusters: e.out.Clusters})
		}
	}
	return list
}

// Routes returns the routes and clusters of an organisation by name.
func (t *Catalog) Routes(organisation string) (map[string]*resource.Route, map[string]*resource.Cluster) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	routes, clusters := map[string]*resource.Route{}, map[string]*resource.Cluster{}
	for _, e := range t.s.teams {
		if e.Team.Organisation != organisation {
			continue
		}
		for _, r := range e.out.Routes {
			routes[r.Name] = r
		}
		for _, c := range e.out.Clusters {
			clusters[c.Name] = c
		}
	}
	return routes, clusters
}

// Record returns the audit record that holds the answer to a change ID.
func (t *Catalog) Record(id string) (change.Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.s.records.find(id)
}

// Records returns at most limit records below number before that keep accepts,
// newest first; before 0 starts at the newest.
func (t *Catalog) Records(before uint64, limit int, keep func(*change.Record) bool) []change.Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := []change.Record{}
	all := t.s.records.list
	for i := len(all) - 1; i >= 0 && len(list) < limit; i-- {
		if (before == 0 || all[i].Seq < before) && keep(&all[i]) {
			list = append(list, all[i])
		}
	}
	return list
}
