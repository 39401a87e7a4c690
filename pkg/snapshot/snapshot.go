package snapshot

import (
	"cmp"
	"fmt"
	"slices"

	"corianderwood.example/corianderwood/pkg/config"
)

// Snapshot is the whole configuration of one revision, validated and indexed. It is
// immutable, so all methods may be called from any goroutine.
type Snapshot struct {
	document config.Document
	services map[string]config.Service
	routes   routeIndex
	moves    []ActiveMove
}

// Match is the route that a request matches and the service of that route.
type Match struct {
	Route   config.Route
	Service config.Service
}

// ActiveMove is a move in the configuration in force. It may already have an outcome.
type ActiveMove struct {
	Section string
	Service string
	// From is the version that serves the traffic before the move.
	From string
	Move config.Move
}

// New builds a snapshot of a document. It returns the document's Problems if the
// document is invalid, or another error if the index is inconsistent with the document.
// In both cases no part of the document may be applied.
func New(doc config.Document) (*Snapshot, error) {
	if err := config.Check(doc); err != nil {
		return nil, err
	}
	s := &Snapshot{
		document: config.Document{Revision: doc.Revision, Sections: make(map[string]config.Section, len(doc.Sections))},
		services: map[string]config.Service{},
	}
	for name, section := range doc.Sections {
		section = config.CloneSection(section)
		s.document.Sections[name] = section
		for _, service := range section.Services {
			s.services[service.Name] = service
			if service.Move != nil {
				s.moves = append(s.moves, ActiveMove{Section: name, Service: service.Name, From: service.Version, Move: *service.Move})
			}
		}
	}
	slices.SortFunc(s.moves, func(a, b ActiveMove) int { return cmp.Compare(a.Service, b.Service) })
	for _, section := range s.document.Sections {
		for _, route := range section.Routes {
			s.routes.add(&Match{Route: route, Service: s.services[route.Service]})
		}
	}
	if err := s.CheckConsistency(); err != nil {
		return nil, err
	}
	return s, nil
}

// Revision returns the revision of the document.
func (s *Snapshot) Revision() uint64 { return s.document.Revision }

// Route returns the route of a request. Routes of the request's host take precedence
// over routes without a host; among them, the route with the longest path prefix that
// accepts the method is chosen. Host may include a port. Path is the request path
// without the query. The result shares memory with the snapshot and must not be
// modified.
func (s *Snapshot) Route(host, path, method string) (Match, bool) {
	if m := s.routes.find(host, path, method); m != nil {
		return *m, true
	}
	return Match{}, false
}

// Service returns a service by name. The result must not be modified.
func (s *Snapshot) Service(name string) (config.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Section returns a copy of a section.
func (s *Snapshot) Section(name string) (config.Section, bool) {
	section, ok := s.document.Sections[name]
	return config.CloneSection(section), ok
}

// Moves returns the moves of the document, sorted by service name.
func (s *Snapshot) Moves() []ActiveMove { return slices.Clone(s.moves) }

// Document returns a copy of the document.
func (s *Snapshot) Document() config.Document {
	doc := config.Document{Revision: s.document.Revision, Sections: make(map[string]config.Section, len(s.document.Sections))}
	for name, section := range s.document.Sections {
		doc.Sections[name] = config.CloneSection(section)
	}
	return doc
}

// CheckConsistency verifies that the index agrees with the document: each route is
// found under its own host, path and methods, its service exists and equals the service
// in the document, and the index contains nothing else.
func (s *Snapshot) CheckConsistency() error {
	count, services := 0, 0
	for name, section := range s.document.Sections {
		for _, service := range section.Services {
			services++
			if got, ok := s.services[service.Name]; !ok || got != service {
				return fmt.Errorf("snapshot: revision %d was rejected: service %s of section %s is missing in the index or differs from the document",
					s.Revision(), service.Name, name)
			}
		}
		for _, route := range section.Routes {
			count++
			if err := s.checkRoute(route); err != nil {
				return fmt.Errorf("snapshot: revision %d was rejected: section %s: %w", s.Revision(), name, err)
			}
		}
	}
	if count != s.routes.size || services != len(s.services) {
		return fmt.Errorf("snapshot: revision %d was rejected: the index has %d routes and %d services, but the document has %d and %d",
			s.Revision(), s.routes.size, len(s.services), count, services)
	}
	return nil
}

func (s *Snapshot) checkRoute(route config.Route) error {
	methods := route.Methods
	if len(methods) == 0 {
		methods = []string{unlistedMethod}
	}
	for _, method := range methods {
		m := s.routes.find(route.Host, route.PathPrefix, method)
		if m == nil || m.Route.Name != route.Name {
			return fmt.Errorf("route %s is not found under its own host, path and method %s", route.Name, method)
		}
		service, ok := s.services[route.Service]
		if !ok || m.Service != service {
			return fmt.Errorf("route %s has service %s, which differs from the document", route.Name, route.Service)
		}
	}
	return nil
}
