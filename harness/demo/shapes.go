package demo

import (
	"corianderwood.example/corianderwood/harness/layout"
	"corianderwood.example/corianderwood/pkg/config"
)

// kapiti has the services, servers and failure domains of Kāpiti Icecraft Labs.
// Version v2 of sheetwatch works, so that its move must succeed.
func kapiti() layout.Shape {
	return layout.Shape{
		Name: "kapiti", Region: "wgtn", Domains: []string{"wgtn-a", "wgtn-b", "wgtn-c"},
		Services: []layout.ServiceShape{
			{Name: "sheetwatch", Servers: 6, NewServers: 3},
			{Name: "floodbook", Servers: 4},
			{Name: "pondarchive", Servers: 3},
		},
		Routes: []config.Route{
			{Name: "sheets", PathPrefix: "/sheets", Service: "sheetwatch"},
			{Name: "floods", PathPrefix: "/floods", Service: "floodbook"},
			{Name: "archive", PathPrefix: "/archive", Service: "pondarchive"},
		},
	}
}

// dyffryn has the services, servers and failure domains of Dyffryn Adornments
// Division. Version v2 of storefront fails 30 % of its calls, so that its move must be
// rolled back.
func dyffryn() layout.Shape {
	const badFailure = 0.3
	return layout.Shape{
		Name: "dyffryn", Region: "cymru", Domains: []string{"cymru-a", "cymru-b", "cymru-c"},
		Services: []layout.ServiceShape{
			{Name: "storefront", Servers: 6, NewServers: 3, NewFailure: badFailure},
			{Name: "orders", Servers: 4},
			{Name: "warehouse", Servers: 3},
		},
		Routes: []config.Route{
			{Name: "catalogue", PathPrefix: "/catalogue", Service: "storefront"},
			{Name: "orders", PathPrefix: "/orders", Service: "orders"},
			{Name: "stock", PathPrefix: "/stock", Service: "warehouse"},
		},
	}
}
