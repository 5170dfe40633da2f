package catalog

import (
	"github.com/celeryyard/celeryyard/core/change"
	"github.com/celeryyard/celeryyard/core/resource"
)

// Template is the representation of a template in the operators' API.
type Template struct {
	Template *resource.Template `json:"template"`
	Revision uint64             `json:"revision"`
}

// Team is the representation of a team in the operators' API. It includes the routes and clusters
// to which the team's template expands.
type Team struct {
	Team     *resource.Team      `json:"team"`
	Revision uint64              `json:"revision"`
	Routes   []*resource.Route   `json:"routes"`
	Clusters []*resource.Cluster `json:"clusters"`
}

// Templates returns all templates, sorted by name.
func (cat *Catalog) Templates() []Template {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	templates := []Template{}
	for _, name := range sortedNames(cat.state.templates) {
		e := cat.state.templates[name]
		templates = append(templates, Template{Template: e.Template, Revision: e.Revision})
	}
	return templates
}

// Teams returns the teams of an organisation, sorted by name.
func (cat *Catalog) Teams(organisation string) []Team {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	teams := []Team{}
	for _, name := range sortedNames(cat.state.teams) {
		e := cat.state.teams[name]
		if e.Team.Organisation == organisation {
			teams = append(teams, Team{Team: e.Team, Revision: e.Revision, Routes: e.expansion.Routes, Clusters: e.expansion.Clusters})
		}
	}
	return teams
}

// Routes returns the routes and clusters of an organisation by name.
func (cat *Catalog) Routes(organisation string) (map[string]*resource.Route, map[string]*resource.Cluster) {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	routes, clusters := map[string]*resource.Route{}, map[string]*resource.Cluster{}
	for _, e := range cat.state.teams {
		if e.Team.Organisation != organisation {
			continue
		}
		for _, r := range e.expansion.Routes {
			routes[r.Name] = r
		}
		for _, c := range e.expansion.Clusters {
			clusters[c.Name] = c
		}
	}
	return routes, clusters
}

// Record returns the audit record that holds the answer to a change ID, and false if there is
// none.
func (cat *Catalog) Record(id string) (change.Record, bool) {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	return cat.state.records.find(id)
}

// Records returns at most maxCount audit records for which keep returns true, newest first. It
// starts below sequence number beforeSeq, or at the newest record if beforeSeq is 0.
func (cat *Catalog) Records(beforeSeq uint64, maxCount int, keep func(*change.Record) bool) []change.Record {
	cat.mu.RLock()
	defer cat.mu.RUnlock()
	list := []change.Record{}
	all := cat.state.records.list
	for i := len(all) - 1; i >= 0 && len(list) < maxCount; i-- {
		if (beforeSeq == 0 || all[i].Seq < beforeSeq) && keep(&all[i]) {
			list = append(list, all[i])
		}
	}
	return list
}
