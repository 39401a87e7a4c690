package snapshot

import "strings"

// unlistedMethod is a method that no route lists, because configured methods are upper
// case. Looking it up finds the route that accepts every method.
const unlistedMethod = "any"

// routeIndex finds routes by host, path and method. It is read-only once it is built.
type routeIndex struct {
	hosts map[string]*pathNode
	// anyHost holds the routes without a host.
	anyHost *pathNode
	size    int
}

// pathNode is a node of a trie over path segments.
type pathNode struct {
	children map[string]*pathNode
	byMethod map[string]*Match
	// anyMethod is the route that accepts every method. Two routes of one node never
	// accept the same method, which config.Check ensures.
	anyMethod *Match
}

func (x *routeIndex) add(m *Match) {
	x.size++
	node := x.root(m.Route.Host)
	for segment := range strings.SplitSeq(strings.TrimPrefix(m.Route.PathPrefix, "/"), "/") {
		if segment != "" {
			node = node.child(segment)
		}
	}
	if len(m.Route.Methods) == 0 {
		node.anyMethod = m
		return
	}
	if node.byMethod == nil {
		node.byMethod = make(map[string]*Match, len(m.Route.Methods))
	}
	for _, method := range m.Route.Methods {
		node.byMethod[method] = m
	}
}

func (x *routeIndex) root(host string) *pathNode {
	if host == "" {
		if x.anyHost == nil {
			x.anyHost = &pathNode{}
		}
		return x.anyHost
	}
	if x.hosts == nil {
		x.hosts = map[string]*pathNode{}
	}
	if x.hosts[host] == nil {
		x.hosts[host] = &pathNode{}
	}
	return x.hosts[host]
}

func (n *pathNode) child(segment string) *pathNode {
	if n.children == nil {
		n.children = map[string]*pathNode{}
	}
	if n.children[segment] == nil {
		n.children[segment] = &pathNode{}
	}
	return n.children[segment]
}

// find returns the match of a request, or nil if no route matches.
func (x *routeIndex) find(host, path, method string) *Match {
	if len(x.hosts) > 0 {
		if root := x.hosts[normalizeHost(host)]; root != nil {
			if m := root.find(path, method); m != nil {
				return m
			}
		}
	}
	if x.anyHost == nil {
		return nil
	}
	return x.anyHost.find(path, method)
}

// find descends along the segments of the path and returns the match of the deepest
// node that accepts the method. The number of steps is at most the number of segments
// of the longest prefix, whatever the path.
func (n *pathNode) find(path, method string) *Match {
	if path == "" || path[0] != '/' {
		return nil
	}
	best := n.routeFor(method, nil)
	rest := path[1:]
	for len(n.children) > 0 && rest != "" {
		segment := rest
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			segment, rest = rest[:i], rest[i+1:]
		} else {
			rest = ""
		}
		if n = n.children[segment]; n == nil {
			break
		}
		best = n.routeFor(method, best)
	}
	return best
}

func (n *pathNode) routeFor(method string, otherwise *Match) *Match {
	if m := n.byMethod[method]; m != nil {
		return m
	}
	if n.anyMethod != nil {
		return n.anyMethod
	}
	return otherwise
}

// normalizeHost removes the port and a trailing dot and converts the host to lower
// case. It allocates only for a host with upper-case letters.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
