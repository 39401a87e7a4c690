package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// EncodeSection returns the canonical JSON of a section: fields in a fixed order,
// services and routes sorted by name, methods sorted, times in UTC, no insignificant
// whitespace. Equal sections have equal encodings, so the hash identifies the content.
func EncodeSection(s Section) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(canonical(s)); err != nil {
		return nil, fmt.Errorf("config: encoding section %s: %w", s.Name, err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// HashBody returns the hex SHA-256 of a section body.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// canonical returns a deep copy of the section in canonical order.
func canonical(s Section) Section {
	s = CloneSection(s)
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	for i := range s.Services {
		if m := s.Services[i].Move; m != nil {
			m.FinishBy = m.FinishBy.Round(0).UTC()
			m.AcceptedAt = m.AcceptedAt.Round(0).UTC()
		}
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		slices.Sort(r.Methods)
		if len(r.Methods) == 0 {
			r.Methods = nil
		}
		if r.Repeatable == "" {
			r.Repeatable = RepeatByMethod
		}
	}
	return s
}

// CloneSection returns a deep copy of a section. Its lists of services and routes are
// never nil.
func CloneSection(s Section) Section {
	s.Services = append([]Service{}, s.Services...)
	for i := range s.Services {
		if s.Services[i].Move != nil {
			move := *s.Services[i].Move
			s.Services[i].Move = &move
		}
	}
	s.Routes = append([]Route{}, s.Routes...)
	for i := range s.Routes {
		s.Routes[i].Methods = slices.Clone(s.Routes[i].Methods)
	}
	return s
}
