package snapshot

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"corianderwood.example/corianderwood/pkg/config"
)

// section returns a section with one service and the given routes, each written as
// "name host path method,method".
func section(t testing.TB, name string, routes ...string) config.Section {
	t.Helper()
	s, err := config.ParseSection(fmt.Appendf(nil, `{"name":%q,"team":"t","services":[{"name":%q,"version":"v1"}]}`, name, name))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range routes {
		f := strings.Split(line, " ")
		r := config.Route{Name: f[0], Host: f[1], PathPrefix: f[2], Service: name}
		if len(f) > 3 {
			r.Methods = strings.Split(f[3], ",")
		}
		s.Routes = append(s.Routes, r)
	}
	return s
}

func build(t testing.TB, revision uint64, sections ...config.Section) *Snapshot {
	t.Helper()
	doc := config.Document{Revision: revision, Sections: map[string]config.Section{}}
	for _, s := range sections {
		doc.Sections[s.Name] = s
	}
	snapshot, err := New(doc)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// Guards against a request that is routed to another service than that of its route.
func TestRoute(t *testing.T) {
	s := build(t, 1, section(t, "a",
		"root  /", "orders  /orders", "orders-get  /orders/open GET", "shop shop.example /", "shop-api shop.example /api/v1 GET,POST"))
	tests := []struct{ host, path, method, want string }{
		{"", "/", "GET", "root"},
		{"x", "/orders", "GET", "orders"},
		{"x", "/orders/", "GET", "orders"},
		{"x", "/orders/open/7", "GET", "orders-get"},
		{"x", "/orders/open/7", "PUT", "orders"},
		{"x", "/orders/opened", "GET", "orders"},
		{"x", "/ordersx", "GET", "root"},
		{"x", "//orders", "GET", "root"},
		{"shop.example", "/orders", "GET", "shop"},
		{"SHOP.example:8443", "/api/v1/rings", "POST", "shop-api"},
		{"shop.example.", "/api/v1", "DELETE", "shop"},
		{"shop.example", "/api/v11", "GET", "shop"},
		{"[::1]:80", "/", "any", "root"},
		{"x", "", "GET", ""},
		{"x", "orders", "GET", ""},
	}
	for _, test := range tests {
		got, ok := s.Route(test.host, test.path, test.method)
		if ok != (test.want != "") || got.Route.Name != test.want || ok && got.Service.Name != "a" {
			t.Errorf("%s %s%s: %q, want %q", test.method, test.host, test.path, got.Route.Name, test.want)
		}
	}
}

// Guards against an index that disagrees with a linear search of the document.
func TestProofRouteIndex(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	rnd := rand.New(rand.NewPCG(seed, 0))
	pick := func(from ...string) string { return from[rnd.IntN(len(from))] }
	path := func() string {
		p := ""
		for range rnd.IntN(4) {
			p += "/" + pick("a", "b", "ab")
		}
		if p == "" {
			return "/"
		}
		return p
	}
	matched := 0
	for range 300 {
		a := section(t, "a")
		for i := range 2 + rnd.IntN(16) {
			r := config.Route{Name: fmt.Sprintf("r%d", i), Host: pick("", "h1", "h2"), PathPrefix: path(), Service: "a"}
			r.Methods = [][]string{nil, {"GET"}, {"PUT", "POST"}}[rnd.IntN(3)]
			a.Routes = append(a.Routes, r)
			if config.Check(config.Document{Sections: map[string]config.Section{"a": a}}) != nil {
				a.Routes = a.Routes[:len(a.Routes)-1] // it matches the same requests as another route
			}
		}
		s := build(t, 1, a)
		for range 50 {
			host, p, method := pick("h1", "h2", "h3"), path(), pick("GET", "PUT", "DELETE")
			want := linearSearch(a.Routes, host, p, method)
			got, ok := s.Route(host, p, method)
			if got.Route.Name != want || ok != (want != "") {
				t.Fatalf("%s %s%s: %q, want %q of %+v", method, host, p, got.Route.Name, want, a.Routes)
			}
			if ok {
				matched++
			}
		}
	}
	if matched < 5000 {
		t.Errorf("only %d of 15000 requests matched a route; too few for a meaningful test", matched)
	}
}

// linearSearch finds the route by comparing all routes: those of the host first, then
// the longest prefix.
func linearSearch(routes []config.Route, host, path, method string) string {
	best, rank := "", 0
	for _, r := range routes {
		prefix := strings.TrimSuffix(r.PathPrefix, "/") + "/"
		if r.Host != "" && r.Host != host || !strings.HasPrefix(path+"/", prefix) ||
			len(r.Methods) > 0 && !strings.Contains(strings.Join(r.Methods, ","), method) {
			continue
		}
		n := len(prefix)
		if r.Host != "" {
			n += 1000
		}
		if n > rank {
			best, rank = r.Name, n
		}
	}
	return best
}

// Guards against a consistency check that accepts a damaged index.
func TestCheckConsistencyFindsDamage(t *testing.T) {
	damages := map[string]func(s *Snapshot){
		"route missing": func(s *Snapshot) { s.routes.anyHost.children["x"].anyMethod = nil },
		"route shadowed": func(s *Snapshot) {
			s.routes.anyHost.children["x"].byMethod = map[string]*Match{unlistedMethod: {}}
		},
		"extra route":     func(s *Snapshot) { s.routes.size++ },
		"service missing": func(s *Snapshot) { delete(s.services, "a") },
		"extra service":   func(s *Snapshot) { s.services["b"] = config.Service{} },
		"other service":   func(s *Snapshot) { s.routes.anyHost.children["x"].anyMethod.Service.Version = "v0" },
	}
	for name, damage := range damages {
		s := build(t, 1, section(t, "a", "x  /x", "y  /y GET"))
		damage(s)
		if s.CheckConsistency() == nil {
			t.Errorf("%s was not detected", name)
		}
	}
}

// Guards against a snapshot of an invalid document, and against one that changes when
// the document from which it was built changes.
func TestNew(t *testing.T) {
	bad := section(t, "a", "x  /x")
	bad.Routes[0].Service = "none"
	if _, err := New(config.Document{Sections: map[string]config.Section{"a": bad}}); len(config.Problems(err)) != 1 {
		t.Errorf("got %v, want one problem", err)
	}
	a := section(t, "a", "x  /x GET")
	a.Services[0].Move = &config.Move{ID: "m", To: "v2", FinishBy: fixedTime}
	s := build(t, 3, a)
	a.Services[0].Move.To, a.Services[0].Version, a.Routes[0].Methods[0] = "v9", "v8", "PUT"
	s.Document().Sections["a"].Services[0].Move.To = "v9"
	moves := s.Moves()
	if len(moves) != 1 || moves[0] != (ActiveMove{Section: "a", Service: "a", From: "v1", Move: config.Move{ID: "m", To: "v2", FinishBy: fixedTime}}) {
		t.Errorf("moves %+v", moves)
	}
	if m, ok := s.Route("", "/x", "GET"); !ok || m.Service.Version != "v1" || m.Service.Move.To != "v2" {
		t.Errorf("route %+v, %v", m, ok)
	}
}

// Guards against heap allocations in the route lookup of each request.
func TestRouteAllocations(t *testing.T) {
	s := build(t, 1, section(t, "a", "x  /x", "y h.example /y/z GET"))
	if n := testing.AllocsPerRun(100, func() {
		_, _ = s.Route("h.example:443", "/y/z/1/2", "GET")
		_, _ = s.Route("other", "/x/1", "POST")
	}); n != 0 {
		t.Errorf("%g allocations, want 0", n)
	}
}
