package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Check validates a whole document and returns all Problems, joined, or nil. The result
// does not depend on the time, so every node gets the same result for the same
// document.
func Check(doc Document) error {
	c := documentCheck{
		services: map[string]string{},
		routes:   map[string]string{},
		moves:    map[string]string{},
		matches:  map[string][]routeOwner{},
	}
	if len(doc.Sections) > MaxSections {
		c.errs = append(c.errs, Problem{
			Message: fmt.Sprintf("the document has %d sections", len(doc.Sections)),
			Remedy:  fmt.Sprintf("merge sections; at most %d are allowed", MaxSections),
		})
	}
	names := sectionNames(doc)
	for _, name := range names {
		c.collectServices(name, doc.Sections[name])
	}
	for _, name := range names {
		c.checkSection(name, doc.Sections[name])
	}
	return errors.Join(c.errs...)
}

func sectionNames(doc Document) []string {
	names := make([]string, 0, len(doc.Sections))
	for name := range doc.Sections {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

type routeOwner struct {
	section string
	route   Route
}

// documentCheck is the state of a check. Its maps hold what must be unique across all
// sections, with the owning section.
type documentCheck struct {
	services, routes, moves map[string]string
	matches                 map[string][]routeOwner // by host and path prefix
	errs                    []error
}

func (c *documentCheck) collectServices(name string, s Section) {
	l := problemList{section: name}
	for _, service := range s.Services {
		if owner, ok := c.services[service.Name]; ok {
			serviceScope(&l, service.Name).add("name", "choose another name", "the name is already used by a service of section %s", owner)
			continue
		}
		c.services[service.Name] = name
	}
	c.errs = append(c.errs, l.errs...)
}

func (c *documentCheck) checkSection(name string, s Section) {
	l := problemList{section: name}
	if s.Name != name {
		l.add("name", "use the name under which the section is stored", "the section is named %q", s.Name)
	}
	section := fieldScope{problemList: &l}
	checkName(section, "name", s.Name)
	checkName(section, "team", s.Team)
	if len(s.Services) > maxSectionEntries {
		l.add("services", fmt.Sprintf("state at most %d", maxSectionEntries), "the section has %d services", len(s.Services))
	}
	if len(s.Routes) > maxSectionEntries {
		l.add("routes", fmt.Sprintf("state at most %d", maxSectionEntries), "the section has %d routes", len(s.Routes))
	}
	for _, service := range s.Services {
		checkService(&l, service)
		c.checkMoveID(&l, name, service)
	}
	for _, route := range s.Routes {
		checkRoute(&l, route)
		c.checkRouteOwners(&l, name, route)
	}
	c.errs = append(c.errs, l.errs...)
}

func (c *documentCheck) checkMoveID(l *problemList, section string, service Service) {
	if service.Move == nil {
		return
	}
	if owner, ok := c.moves[service.Move.ID]; ok {
		serviceScope(l, service.Name).add("move.id", "choose an id that was never used", "the id is already used by a move of section %s", owner)
		return
	}
	c.moves[service.Move.ID] = section
}

func (c *documentCheck) checkRouteOwners(l *problemList, section string, route Route) {
	if _, ok := c.services[route.Service]; !ok {
		routeScope(l, route.Name).add("service", "name an existing service or add it in the same edit", "there is no service %q", route.Service)
	}
	if owner, ok := c.routes[route.Name]; ok {
		routeScope(l, route.Name).add("name", "choose another name", "the name is already used by a route of section %s", owner)
	} else {
		c.routes[route.Name] = section
	}
	key := route.Host + route.PathPrefix
	for _, other := range c.matches[key] {
		if method, ok := sharedMethod(route, other.route); ok {
			routeScope(l, route.Name).add("path_prefix", "change the host, the path prefix or the methods of one of them",
				"route %s of section %s matches the same host, path and method (%s)", other.route.Name, other.section, method)
		}
	}
	c.matches[key] = append(c.matches[key], routeOwner{section: section, route: route})
}

// sharedMethod returns a method that both routes match.
func sharedMethod(a, b Route) (string, bool) {
	switch {
	case len(a.Methods) == 0:
		return cmp.Or(append(slices.Clone(b.Methods), "all")...), true
	case len(b.Methods) == 0:
		return a.Methods[0], true
	}
	for _, m := range a.Methods {
		if slices.Contains(b.Methods, m) {
			return m, true
		}
	}
	return "", false
}
