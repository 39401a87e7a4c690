package config

import (
	"fmt"
	"slices"
	"strings"
)

func checkRoute(l *problemList, r Route) {
	e := routeScope(l, r.Name)
	checkName(e, "name", r.Name)
	if !validHost(r.Host) {
		e.add("host", "state a lower-case host name without port, or leave it empty for every host", "%q is not a host", r.Host)
	}
	if !validPathPrefix(r.PathPrefix) {
		e.add("path_prefix", "begin with '/', use whole segments and no '/' at the end; '/' matches every path",
			"%q is not a path prefix", r.PathPrefix)
	}
	for i, m := range r.Methods {
		if !validMethod(m) {
			e.add("methods", "state methods in upper case, such as GET", "%q is not a method", m)
		}
		if slices.Contains(r.Methods[:i], m) {
			e.add("methods", "state it once", "method %s occurs twice", m)
		}
	}
	switch r.Repeatable {
	case "", RepeatByMethod, RepeatAlways, RepeatNever:
	default:
		e.add("repeatable", fmt.Sprintf("state %s, %s or %s", RepeatByMethod, RepeatAlways, RepeatNever), "%q is unknown", r.Repeatable)
	}
	checkRange(e, "timeout_ms", r.TimeoutMS, 0, MaxTimeoutMS)
}

func validHost(host string) bool {
	if host == "" {
		return true
	}
	if len(host) > MaxHostBytes {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if label == "" || strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
			return false
		}
	}
	return true
}

// validPathPrefix rejects what a cleaned request path never contains and what matching
// by segments cannot distinguish: empty, "." and ".." segments, a trailing slash and
// escaped characters.
func validPathPrefix(path string) bool {
	if path == "/" {
		return true
	}
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathBytes {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	for i := range len(path) {
		if c := path[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`?#%"<>\^{|}`+"`", c) >= 0 {
			return false
		}
	}
	return true
}

func validMethod(m string) bool {
	if m == "" || len(m) > MaxNameBytes {
		return false
	}
	for i := range len(m) {
		if c := m[i]; (c < 'A' || c > 'Z') && c != '-' {
			return false
		}
	}
	return true
}
