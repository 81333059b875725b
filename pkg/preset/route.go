package preset

import "strings"

// routeIndex maps path prefixes to routes for a longest-prefix match. Keys are prefixes without a trailing slash.
type routeIndex struct {
	byPrefix  map[string]prefixRoutes
	maxLength int // length of the longest prefix in bytes
}

// prefixRoutes holds the routes with the same path prefix.
type prefixRoutes struct {
	byMethod  map[string]*Route
	anyMethod *Route // route of the methods that are not in byMethod; may be nil
}

func newRouteIndex(routes []Route) routeIndex {
	index := routeIndex{byPrefix: make(map[string]prefixRoutes, len(routes))}
	for i := range routes {
		r := &routes[i]
		prefix := strings.TrimSuffix(r.Path, "/")
		entry := index.byPrefix[prefix]
		if len(r.Methods) == 0 {
			entry.anyMethod = r
		}
		for _, m := range r.Methods {
			if entry.byMethod == nil {
				entry.byMethod = map[string]*Route{}
			}
			entry.byMethod[m] = r
		}
		index.byPrefix[prefix] = entry
		index.maxLength = max(index.maxLength, len(prefix))
	}
	return index
}

// Route returns the route of a request: the one with the longest path prefix that accepts the method. On the same prefix a
// route that lists the method takes precedence over one for all methods. Route does not allocate.
func (c *Content) Route(method, path string) (*Route, bool) {
	prefix := path
	// Truncating to the length of the longest prefix bounds the work for a long path with many segments.
	if len(prefix) > c.index.maxLength {
		if path[c.index.maxLength] == '/' {
			prefix = path[:c.index.maxLength]
		} else {
			prefix = parentPath(path[:c.index.maxLength])
		}
	}
	for {
		if entry, ok := c.index.byPrefix[prefix]; ok {
			if r, ok := entry.byMethod[method]; ok {
				return r, true
			}
			if entry.anyMethod != nil {
				return entry.anyMethod, true
			}
		}
		if prefix == "" {
			return nil, false
		}
		prefix = parentPath(prefix)
	}
}

// parentPath removes the last segment and its slash.
func parentPath(prefix string) string {
	return prefix[:max(strings.LastIndexByte(prefix, '/'), 0)]
}
