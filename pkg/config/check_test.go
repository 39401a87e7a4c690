package config

import (
	"strings"
	"testing"
	"time"
)

func mustParse(t testing.TB, data string) Section {
	t.Helper()
	s, err := ParseSection([]byte(data))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func document(sections ...Section) Document {
	doc := Document{Revision: 1, Sections: map[string]Section{}}
	for _, s := range sections {
		doc.Sections[s.Name] = s
	}
	return doc
}

// pondSection returns a valid section with one service and one route.
func pondSection(t testing.TB) Section {
	return mustParse(t, `{"name":"pond","team":"icemakers","services":[{"name":"sheetwatch","version":"v1"}],
		"routes":[{"name":"sheets","host":"ice.example","path_prefix":"/sheets","methods":["GET","PUT"],"service":"sheetwatch"}]}`)
}

// Guards against applying an invalid document: each fault must be reported with its
// section, field and remedy.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(s *Section)
		field  string // "" means valid
	}{
		"valid":                   {func(*Section) {}, ""},
		"name":                    {func(s *Section) { s.Services[0].Name = "Ä"; s.Routes[0].Service = "Ä" }, "services[Ä].name"},
		"long name":               {func(s *Section) { s.Routes[0].Name = strings.Repeat("a", 64) }, "routes[" + strings.Repeat("a", 64) + "].name"},
		"team":                    {func(s *Section) { s.Team = "" }, "team"},
		"no version":              {func(s *Section) { s.Services[0].Version = "" }, "services[sheetwatch].version"},
		"version with line break": {func(s *Section) { s.Services[0].Version = "1\r\n" }, "services[sheetwatch].version"},
		"no slots":                {func(s *Section) { s.Services[0].Limits.Slots = 0 }, "services[sheetwatch].limits.slots"},
		"fewer connections":       {func(s *Section) { s.Services[0].Limits.Connections = 8 }, "services[sheetwatch].limits.connections"},
		"negative queue":          {func(s *Section) { s.Services[0].Limits.Queue = -1 }, "services[sheetwatch].limits.queue"},
		"ratio":                   {func(s *Section) { s.Services[0].Retry.Ratio = 1.1 }, "services[sheetwatch].retry.ratio"},
		"cap":                     {func(s *Section) { s.Services[0].Retry.Cap = -1 }, "services[sheetwatch].retry.cap"},
		"base above maximum":      {func(s *Section) { s.Services[0].Retry.BaseMS = 2001 }, "services[sheetwatch].retry.max_wait_ms"},
		"long attempt":            {func(s *Section) { s.Services[0].AttemptTimeoutMS = 3001 }, "services[sheetwatch].attempt_timeout_ms"},
		"no slow limit":           {func(s *Section) { s.Services[0].SlowMS = 0 }, "services[sheetwatch].slow_ms"},
		"no timeout":              {func(s *Section) { s.Services[0].TimeoutMS = MaxTimeoutMS + 1 }, "services[sheetwatch].timeout_ms"},
		"unknown service":         {func(s *Section) { s.Routes[0].Service = "none" }, "routes[sheets].service"},
		"host with port":          {func(s *Section) { s.Routes[0].Host = "ice.example:80" }, "routes[sheets].host"},
		"relative path":           {func(s *Section) { s.Routes[0].PathPrefix = "sheets" }, "routes[sheets].path_prefix"},
		"trailing slash":          {func(s *Section) { s.Routes[0].PathPrefix = "/sheets/" }, "routes[sheets].path_prefix"},
		"parent segment":          {func(s *Section) { s.Routes[0].PathPrefix = "/a/../b" }, "routes[sheets].path_prefix"},
		"escaped path":            {func(s *Section) { s.Routes[0].PathPrefix = "/a%2fb" }, "routes[sheets].path_prefix"},
		"method":                  {func(s *Section) { s.Routes[0].Methods = []string{"get"} }, "routes[sheets].methods"},
		"method twice":            {func(s *Section) { s.Routes[0].Methods = []string{"GET", "GET"} }, "routes[sheets].methods"},
		"repeatable":              {func(s *Section) { s.Routes[0].Repeatable = "sometimes" }, "routes[sheets].repeatable"},
		"route timeout":           {func(s *Section) { s.Routes[0].TimeoutMS = -1 }, "routes[sheets].timeout_ms"},
		"service twice":           {func(s *Section) { s.Services = append(s.Services, s.Services[0]) }, "services[sheetwatch].name"},
		"route twice": {func(s *Section) {
			r := s.Routes[0]
			r.PathPrefix = "/b"
			s.Routes = append(s.Routes, r)
		}, "routes[sheets].name"},
		"same match": {func(s *Section) {
			r := s.Routes[0]
			r.Name, r.Methods = "other", []string{"PUT", "POST"}
			s.Routes = append(s.Routes, r)
		}, "routes[other].path_prefix"},
		"all methods over some": {func(s *Section) {
			r := s.Routes[0]
			r.Name, r.Methods = "other", nil
			s.Routes = append(s.Routes, r)
		}, "routes[other].path_prefix"},
		"other methods": {func(s *Section) {
			r := s.Routes[0]
			r.Name, r.Methods = "other", []string{"POST"}
			s.Routes = append(s.Routes, r)
		}, ""},
		"other host": {func(s *Section) {
			r := s.Routes[0]
			r.Name, r.Host = "other", ""
			s.Routes = append(s.Routes, r)
		}, ""},
		"move to the same version": {func(s *Section) {
			s.Services[0].Move = &Move{ID: "m", To: "v1", FinishBy: time.Unix(1, 0)}
		}, "services[sheetwatch].move.to"},
		"move without time": {func(s *Section) { s.Services[0].Move = &Move{ID: "m", To: "v2"} }, "services[sheetwatch].move.finish_by"},
		"move without id":   {func(s *Section) { s.Services[0].Move = &Move{To: "v2", FinishBy: time.Unix(1, 0)} }, "services[sheetwatch].move.id"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := pondSection(t)
			test.change(&s)
			problems := Problems(Check(document(s)))
			if test.field == "" {
				if len(problems) != 0 {
					t.Errorf("problems of a valid document: %v", problems)
				}
				return
			}
			if len(problems) != 1 || problems[0].Field != test.field || problems[0].Section != "pond" || problems[0].Remedy == "" {
				t.Errorf("got %v, want one problem of field %s", problems, test.field)
			}
		})
	}
}

// Guards against checks that stop at the first fault or look at one section only.
func TestCheckJoinsProblemsOfAllSections(t *testing.T) {
	a, b := pondSection(t), pondSection(t)
	b.Name = "rink"
	b.Services[0].Limits.Slots = 0
	a.Services[0].Move = &Move{ID: "m", To: "v2", FinishBy: time.Unix(1, 0)}
	b.Services[0].Move = a.Services[0].Move
	var fields []string
	for _, p := range Problems(Check(document(a, b))) {
		fields = append(fields, p.Section+" "+p.Field)
	}
	got := strings.Join(fields, ", ")
	want := "rink services[sheetwatch].name, rink services[sheetwatch].limits.slots, rink services[sheetwatch].move.id, rink routes[sheets].name, rink routes[sheets].path_prefix"
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	wrong := Document{Sections: map[string]Section{"other": pondSection(t)}}
	if p := Problems(Check(wrong)); len(p) != 1 || p[0].Field != "name" {
		t.Errorf("a section under another name: %v", p)
	}
}
